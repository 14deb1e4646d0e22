package org.nutmegspring.gateway.endpoints

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.limits.ColdAllowance
import org.nutmegspring.limits.RateShare
import org.nutmegspring.limits.SharedRateLimit
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The position of this instance among all, which share the limits of endpoints in turns on the wall clock. */
class InstanceTurns(
    private val self: InstanceId,
    private val others: () -> Collection<InstanceId>,
    private val wallClock: () -> Duration,
) {
    /** The time on the wall clock since the epoch. */
    fun now(): Duration = wallClock()

    /** Returns the share of this instance in [requestsPerSecond] of all instances. */
    fun share(requestsPerSecond: Double): RateShare {
        val others = others()
        return RateShare(requestsPerSecond, rank = others.count { it < self }, instances = others.size + 1)
    }
}

/**
 * The limit that one endpoint names in its answers, and the requests that this instance sends it meanwhile.
 *
 * While the endpoint is cold, the smaller of the named limit and the one for cold endpoints is in force.
 *
 * @param knownSince when this instance learnt of the endpoint, on the wall clock. A cold endpoint gets no turns from
 *   before: with 6.4 turns a second, an instance that is alone and restarts would use up to 7 of them a second time.
 * @param findAllowance returns what the endpoint may get while it is cold, null when it is not
 */
class EndpointLimit(
    private val knownSince: Duration = Duration.ZERO,
    private val findAllowance: () -> ColdAllowance? = { null },
) {
    private val turns = SharedRateLimit()
    private var hasDiscardedTurns = false
    private var isOwnEvidence = false

    /** When an answer last told whether there is a limit, to this instance or another one; null before the first. */
    private var evidenceAt: MonotonicTime? = null

    /** The requests a second that the endpoint takes from all instances together, null without a limit. */
    var requestsPerSecond: Double? = null
        private set

    /** The requests of this instance that were sent since the limit was first named. */
    var sentRequests = 0L
        private set

    /** Returns how long after now a request may be sent, zero if it may be at once. */
    fun timeUntilTurn(instances: InstanceTurns): Duration {
        val cold = findColdAllowance(instances)
        val rate = permittedRate(cold) ?: return Duration.ZERO
        val wait = turns.timeUntilTurn(instances.share(rate), instances.now())
        return if (cold == null) wait else minOf(wait, cold.remaining)
    }

    /** Counts a request that is about to be sent. Returns false if the limit does not permit it. */
    fun tryAcquire(instances: InstanceTurns): Boolean {
        val rate = permittedRate(findColdAllowance(instances)) ?: return true
        val isPermitted = turns.tryAcquire(instances.share(rate), instances.now())
        if (isPermitted && requestsPerSecond != null) sentRequests++
        return isPermitted
    }

    private fun findColdAllowance(instances: InstanceTurns): ColdAllowance? {
        val cold = findAllowance() ?: return null
        // Once only: if the wall clock is set back, a later call would give out the turns again that were used since.
        if (!hasDiscardedTurns) turns.discardTurnsBefore(knownSince)
        hasDiscardedTurns = true
        turns.discardTurnsOfOtherOrder(instances.share(cold.requestsPerSecond), instances.now())
        return cold
    }

    private fun permittedRate(cold: ColdAllowance?): Double? {
        val named = requestsPerSecond?.let(::effectiveRate)
        return listOfNotNull(named, cold?.requestsPerSecond).minOrNull()
    }

    /**
     * Records that the answer to a request sent at [sentAt] named [limit], or none. Returns whether the limit changed.
     * An answer to a request from before the limit was named does not lift it: answers overtake each other.
     */
    fun recordAnswer(limit: Double?, sentAt: MonotonicTime, now: MonotonicTime): Boolean {
        val isOutdated = limit == null && evidenceAt?.let { sentAt < it } ?: true
        if (isOutdated) return false
        evidenceAt = now
        isOwnEvidence = true
        return change(limit)
    }

    /** Applies what an answer told another instance at [at]. Returns whether the limit changed. */
    fun applyPeerEvidence(limit: Double?, at: MonotonicTime): Boolean {
        if (evidenceAt?.let { at <= it } ?: false) return false
        evidenceAt = at
        isOwnEvidence = false
        return change(limit)
    }

    /** Returns the age of the evidence, null if this instance has none of its own that the others need. */
    fun ownEvidenceAge(now: MonotonicTime): Duration? {
        val age = evidenceAt?.takeIf { isOwnEvidence }?.let { now - it } ?: return null
        return age.takeIf { requestsPerSecond != null || it < LIFTED_RETENTION }
    }

    /** Forgets the limit, because another process answers now. */
    fun reset() {
        requestsPerSecond = null
        evidenceAt = null
        isOwnEvidence = false
        sentRequests = 0
    }

    private fun change(limit: Double?): Boolean {
        if (limit == requestsPerSecond) return false
        if (requestsPerSecond == null || limit == null) sentRequests = 0
        requestsPerSecond = limit
        return true
    }

    private companion object {
        /** The other instances have heard by then that the limit was lifted. */
        val LIFTED_RETENTION = 30.seconds

        /** Without a request now and then, no answer would tell that the limit was lifted. */
        const val MINIMUM_RATE = 0.25

        fun effectiveRate(limit: Double): Double = maxOf(limit, MINIMUM_RATE)
    }
}
