package org.nutmegspring.routing

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/**
 * Engines that must not be chosen.
 *
 * @property engines the ids of the excluded engines
 * @property excludeFailing whether unreachable engines and those that their circuit breaker blocks are excluded as well
 */
data class Exclusion(
    val engines: Set<EndpointId> = emptySet(),
    val excludeFailing: Boolean = true,
)

/** Chooses engines for requests. Not safe for concurrent use. */
sealed interface Router {
    /** Chooses engines for [demand] that [exclusion] does not rule out, or returns null if none is available. */
    fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion = Exclusion()): Placement?
}

/** Returns a router that chooses among the engines of [fleet] by [policy]. */
fun createRouter(fleet: FleetView, policy: RoutingPolicy, random: Random): Router = when (policy) {
    is RoutingPolicy.ExpectedDelay -> ExpectedDelayRouter(fleet, policy, random)

    is RoutingPolicy.LeastLoaded,
    is RoutingPolicy.TwoChoices,
    is RoutingPolicy.BoundedHash,
    is RoutingPolicy.CacheVotes,
    -> LoadRouter(fleet, policy, random)
}
