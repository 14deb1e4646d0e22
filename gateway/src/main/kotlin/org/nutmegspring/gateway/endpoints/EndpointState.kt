package org.nutmegspring.gateway.endpoints

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.limits.COLD_SLOWDOWN
import org.nutmegspring.limits.ColdEstimate
import org.nutmegspring.placement.EngineCandidate
import org.nutmegspring.placement.EngineLoad
import org.nutmegspring.placement.PrefixCacheEstimate
import org.nutmegspring.placement.PromptPart
import org.nutmegspring.placement.ServiceCandidate
import org.nutmegspring.placement.SpeedEstimate
import org.nutmegspring.routing.EndpointHealth
import org.nutmegspring.routing.EndpointHealthSettings
import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What this instance knows of one endpoint: its description, load, health and estimated prefix cache. */
class EndpointState(
    /** The endpoint as it last described itself. */
    var endpoint: ServingEndpoint,
    cacheCapacityTokens: Long,
    private val cold: ColdEndpoints? = null,
    knownSince: Duration = Duration.ZERO,
) {
    private class PeerLoad(val load: EngineLoad, var validUntil: MonotonicTime)

    private val peerLoads = HashMap<InstanceId, PeerLoad>()
    private val cacheEstimate = PrefixCacheEstimate(cacheCapacityTokens)
    private var slowdown = 1.0
    private var slowdownAt = MonotonicTime.ZERO

    /** The load that this instance has placed on the endpoint. */
    val ownLoad = EngineLoad()

    /** When the endpoint last answered a request of this instance, or null if it never has. */
    var lastAnswerAt: MonotonicTime? = null
        private set

    /** The circuit breaker that excludes the endpoint after failures. */
    val health = EndpointHealth(HEALTH_SETTINGS)

    /** The speed of the endpoint, where it tells how long its work takes. */
    val speed = SpeedEstimate()

    /** Whether the endpoint has told a load that cannot be read. */
    var hasUnreadableLoad = false

    /** Until when the endpoint is treated as cold. */
    val coldness = ColdEstimate()

    /** The limit that the endpoint names, and that for cold endpoints. */
    val limit = EndpointLimit(knownSince) { cold?.findAllowance(this) }

    private var isUnanswering = false

    private var failingUntil: MonotonicTime? = null

    /**
     * Whether the endpoint is excluded at [now] because it does not answer this instance at all, or avoided because it
     * answers with errors.
     */
    fun isUnreachable(now: MonotonicTime): Boolean =
        (isUnanswering && !health.canSend(now)) || failingUntil?.let { now < it } ?: false

    /** Avoids the endpoint until [until] because it answers with errors. */
    fun avoidFailing(until: MonotonicTime) {
        failingUntil = until
        avoidUntil(until)
    }

    /** Until when the endpoint is used although its entry has lapsed, or null while the entry exists. */
    var lapsesAt: MonotonicTime? = null

    private var refusals = 0
    private var avoidedUntil: MonotonicTime? = null

    /** Whether a different endpoint answered at the address. */
    var isMisdirected = false

    /** Whether the endpoint is skipped at [now] as long as other endpoints can take the work. */
    fun isAvoided(now: MonotonicTime): Boolean = avoidedUntil?.let { now < it } ?: false

    /**
     * Records that the endpoint refused work at [now]. A single refusal may be caused by the request itself, so the
     * endpoint is avoided only after [REFUSALS_TO_AVOID] in a row.
     */
    fun recordRefusal(now: MonotonicTime) {
        refusals++
        if (refusals >= REFUSALS_TO_AVOID) avoidUntil(now + REFUSAL_PAUSE)
    }

    /** Records that the endpoint did not answer at [now]. */
    fun recordUnanswered(now: MonotonicTime) {
        isUnanswering = true
        health.recordFailure(now)
        if (health.isTripped) coldness.recordUnreachable(now)
    }

    /** Records that the endpoint completed a request. */
    fun recordSuccess() {
        isUnanswering = false
        health.recordSuccess()
    }

    /**
     * Records that the endpoint does not answer another instance. It is avoided until [until], unless it has just
     * answered this instance or this instance's own breaker is tripped: instances that kept excluding it because of
     * each other's reports would never probe it again.
     */
    fun recordUnreachableFromPeer(now: MonotonicTime, until: MonotonicTime) {
        val hasJustAnswered = lastAnswerAt?.let { now - it < RECENT_ANSWER } ?: false
        if (!hasJustAnswered && !health.isTripped) avoidUntil(until)
    }

    /** Avoids the endpoint until [until], or until its description changes. */
    fun avoidUntil(until: MonotonicTime) {
        avoidedUntil = maxOf(avoidedUntil ?: until, until)
    }

    /** Updates the description. A restarted process has an empty prefix cache, so the cache estimate is cleared. */
    fun updateDescription(changed: ServingEndpoint) {
        if (changed.bornAt != endpoint.bornAt || changed.address != endpoint.address) {
            cacheEstimate.clear()
            limit.reset()
            coldness.reset()
        }
        if (changed.bornAt != endpoint.bornAt || changed.role != endpoint.role) speed.reset()
        if (!changed.describesSameAs(endpoint)) {
            isMisdirected = false
            avoidedUntil = null
            failingUntil = null
        }
        endpoint = changed
        lapsesAt = null
    }

    /** Records that the endpoint prefills the prompt [chain]. */
    fun recordPrefill(chain: List<PromptPart>) = cacheEstimate.recordPrefill(chain)

    /** Records the load that another instance reports at the endpoint; it expires at [until] unless reported again. */
    fun recordPeerLoad(instance: InstanceId, waitingTokens: Long, requests: Int, until: MonotonicTime) {
        val peer = peerLoads.getOrPut(instance) { PeerLoad(EngineLoad(), until) }
        peer.load.replace(waitingTokens, requests)
        peer.validUntil = until
    }

    /** Updates the slowdown from an answer that took [actual] where [expected] was expected. */
    fun recordAnswer(expected: Duration, actual: Duration, now: MonotonicTime) {
        val ratio = (actual / maxOf(expected, MINIMUM_EXPECTED_DURATION)).coerceIn(MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN)
        slowdown = currentSlowdown(now) * (1 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT
        slowdownAt = now
        lastAnswerAt = now
        refusals = 0
    }

    /** Returns the number of requests that all instances run at the endpoint, from unexpired reports. */
    fun countRequests(now: MonotonicTime): Int = ownLoad.requests + unexpiredPeerLoads(now).sumOf { it.requests }

    /** Returns the prompt tokens that all instances have queued at the endpoint, from unexpired reports. */
    fun countQueuedTokens(now: MonotonicTime): Long =
        ownLoad.waitingTokens + unexpiredPeerLoads(now).sumOf { it.waitingTokens }

    /** Returns this endpoint as a candidate for a request whose prompt is [chain]. */
    fun toEngineCandidate(chain: List<PromptPart>, now: MonotonicTime): EngineCandidate = EngineCandidate(
        id = endpoint.id,
        role = endpoint.role ?: EngineRole.MIXED,
        dataCentre = endpoint.dataCentre,
        queuedTokens = countQueuedTokens(now),
        cachedTokens = cacheEstimate.countCachedTokens(chain),
        requests = countRequests(now),
        slots = endpoint.slots,
        slowdown = (speed.slowdown(now) ?: maxOf(1.0, currentSlowdown(now))) * coldSlowdown(),
    )

    /** Returns this endpoint as a candidate for a request to a plain service. */
    fun toServiceCandidate(now: MonotonicTime): ServiceCandidate = ServiceCandidate(
        id = endpoint.id,
        dataCentre = endpoint.dataCentre,
        requests = countRequests(now),
        slots = endpoint.slots,
        slowdown = maxOf(1.0, currentSlowdown(now), speed.slowdown(now) ?: 1.0) * coldSlowdown(),
    )

    private fun coldSlowdown(): Double = if (cold?.findAllowance(this) == null) 1.0 else COLD_SLOWDOWN

    private fun unexpiredPeerLoads(now: MonotonicTime): List<EngineLoad> =
        peerLoads.values.filter { now < it.validUntil }.map { it.load }

    /** Decays the slowdown towards 1, so that an endpoint that was slow and got no more work is tried again. */
    private fun currentSlowdown(now: MonotonicTime): Double {
        val age = (now - slowdownAt).toDouble(DurationUnit.SECONDS)
        return 1 + (slowdown - 1) * exp(-age / SLOWDOWN_DECAY_TIME.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        /** Probes start early, because endpoints are few and usually recover within seconds. */
        val HEALTH_SETTINGS = EndpointHealthSettings(
            failureThreshold = 2,
            initialOpenDuration = 500.milliseconds,
            maximumOpenDuration = 4.seconds,
            probeTimeout = 1.seconds,
        )

        /** More than one, because a request that can't be run is refused by one engine after another, once by each. */
        const val REFUSALS_TO_AVOID = 2

        /** An engine that is full or changes its role is tried again after about the duration of a request. */
        val REFUSAL_PAUSE = 250.milliseconds

        /** A busy endpoint answers more often than this, so the fault may lie in the other instance's connection. */
        val RECENT_ANSWER = 300.milliseconds

        val MINIMUM_EXPECTED_DURATION = 20.milliseconds
        const val MINIMUM_SLOWDOWN = 0.5
        const val MAXIMUM_SLOWDOWN = 8.0
        const val SLOWDOWN_WEIGHT = 0.1
        val SLOWDOWN_DECAY_TIME = 8.seconds
    }
}
