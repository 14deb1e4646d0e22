package org.nutmegspring.gateway.endpoints

import org.nutmegspring.identity.ServiceId
import org.nutmegspring.limits.ColdAllowance
import org.nutmegspring.limits.ColdEstimate
import org.nutmegspring.limits.ColdPolicy
import org.nutmegspring.limits.ColdSource
import org.nutmegspring.limits.EndpointKnowledge
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * Drives the [ColdEstimate]s of the endpoints with what this instance learns.
 *
 * @param findPolicy returns what applies to the cold endpoints of a service, null where they are not limited
 * @param isFleetKnown whether this instance knows the others with which it shares the limits
 */
class ColdEndpoints(
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val findPolicy: (ServiceId) -> ColdPolicy?,
    private val isFleetKnown: () -> Boolean,
) {
    private val knowledge = EndpointKnowledge()

    /**
     * Whether some instance has sent a request to an endpoint. Before that, endpoints that appear belong to the first
     * start of the deployment, and their entries are believed when they say that they are not cold.
     */
    var hasTraffic = false
        private set

    /** The current time. */
    fun now(): MonotonicTime = clock.now()

    /** Records that some instance has sent a request. */
    fun recordTraffic() {
        hasTraffic = true
    }

    /** Records that this instance runs, as [EndpointKnowledge.recordActivity]. */
    fun recordActivity(evidenceAge: Duration?, isAlone: Boolean) =
        knowledge.recordActivity(evidenceAge, isAlone, clock.now(), ages)

    /** Records a new endpoint [state]. [former] describes the endpoint that was removed under the same id. */
    fun recordAppearance(state: EndpointState, isFirstListing: Boolean, former: ServingEndpoint?) {
        val isReturned = former != null && former.bornAt == state.endpoint.bornAt
        recordEntry(state, isNew = !isFirstListing)
        val presumed = if (isReturned) ColdSource.ENTRY_RETURNED else ColdSource.NEW_PROCESS
        if (!isFirstListing && hasTraffic) presume(state, presumed)
    }

    /** Records that the endpoint [state] was described by [before] until now, and whether that entry [hasLapsed]. */
    fun recordUpdate(state: EndpointState, before: ServingEndpoint, hasLapsed: Boolean) {
        val current = state.endpoint
        val isNewProcess = current.bornAt != before.bornAt || current.address != before.address
        val isSameEntry = current == before
        if (!isSameEntry || hasLapsed) recordEntry(state, isNew = true)
        when {
            isNewProcess && hasTraffic -> presume(state, ColdSource.NEW_PROCESS)
            hasLapsed && hasTraffic -> presume(state, ColdSource.ENTRY_RETURNED)
        }
    }

    /** Records an answer of [state] to a request sent at [sentAt], which states [remaining] cold time or nothing. */
    fun recordAnswer(state: EndpointState, remaining: Duration?, sentAt: MonotonicTime) =
        state.coldness.recordAnswer(remaining, sentAt, clock.now(), coldTime(state))

    /** Returns what [state] may get while it is cold, null when it is not cold or not limited. */
    fun findAllowance(state: EndpointState): ColdAllowance? {
        val now = clock.now()
        val isKnown = knowledge.isSufficient(now, ages)
        if (isKnown && !state.coldness.isSuspect(now)) return null
        val policy = findPolicy(state.endpoint.service) ?: return null
        val stated = state.coldness.remaining(policy.coldTime, now)
        val remaining = if (isKnown) stated else maxOf(stated, policy.coldTime)
        if (remaining <= Duration.ZERO) return null
        return ColdAllowance(if (isFleetKnown()) policy.sharedRate else 0.0, remaining)
    }

    /** Whether [state] is limited because of evidence that it is cold, not only because it cannot be reached. */
    fun isKnownCold(state: EndpointState): Boolean =
        state.coldness.isKnownCold(clock.now()) && findAllowance(state) != null

    /** Whether cold endpoints of [service] are limited at all. */
    fun isLimited(service: ServiceId): Boolean = findPolicy(service) != null

    /** Returns why [state] is treated as cold. */
    fun findSource(state: EndpointState): ColdSource =
        state.coldness.source?.takeIf { state.coldness.isSuspect(clock.now()) } ?: ColdSource.UNKNOWN

    private fun recordEntry(state: EndpointState, isNew: Boolean) =
        state.coldness.recordEntry(state.endpoint.remainingColdTime, isNew, clock.now())

    /** An entry that states a cold time goes before the presumption. */
    private fun presume(state: EndpointState, because: ColdSource) {
        if (state.endpoint.remainingColdTime > Duration.ZERO) return
        state.coldness.presume(because, coldTime(state), clock.now())
    }

    private fun coldTime(state: EndpointState): Duration = findPolicy(state.endpoint.service)?.coldTime ?: Duration.ZERO
}
