package org.nutmegspring.routing

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/**
 * Engines that are not to be chosen.
 *
 * @property failing whether engines are left out that fail
 */
data class Exclusion(
    val engines: Set<EndpointId> = emptySet(),
    val failing: Boolean = true,
)

/** Chooses engines for requests. It is not safe for concurrent use. */
sealed interface Router {
    /** Chooses engines for [demand] that [exclusion] leaves, or returns null when none takes such work. */
    fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion = Exclusion()): Placement?
}

/** Returns a router that chooses among the engines of [fleet] by [policy]. */
fun router(fleet: FleetView, policy: RoutingPolicy, random: Random): Router = when (policy) {
    is RoutingPolicy.ExpectedDelay -> ExpectedDelayRouter(fleet, policy, random)

    is RoutingPolicy.LeastLoaded,
    is RoutingPolicy.TwoChoices,
    is RoutingPolicy.BoundedHash,
    is RoutingPolicy.CacheVotes,
    -> LoadRouter(fleet, policy, random)
}
