package org.nutmegspring.gateway.endpoints

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.placement.EngineCandidate
import org.nutmegspring.placement.EngineLoad
import org.nutmegspring.placement.PrefixCacheEstimate
import org.nutmegspring.placement.PromptPart
import org.nutmegspring.placement.ServiceCandidate
import org.nutmegspring.routing.EndpointHealth
import org.nutmegspring.routing.EndpointHealthSettings
import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What this instance believes of one endpoint. */
class EndpointState(
    /** The endpoint as it last described itself. */
    var endpoint: ServingEndpoint,
    cacheCapacityTokens: Long,
) {
    private class PeerLoad(val load: EngineLoad, var until: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerLoad>()
    private val belief = PrefixCacheEstimate(cacheCapacityTokens)
    private var slowdown = 1.0
    private var slowdownAt = MonotonicTime.ZERO

    /** The work of this instance at the endpoint. */
    val own = EngineLoad()

    /** When the endpoint last answered a request of this instance, null before. */
    var lastAnswerAt: MonotonicTime? = null
        private set

    /** Whether the endpoint is left out after failures. */
    val health = EndpointHealth(HEALTH)

    private var isSilent = false

    /** Whether the endpoint is left out at [now] since it does not answer this instance at all. */
    fun isUnreachable(now: MonotonicTime): Boolean = isSilent && !health.canSend(now)

    /** Until when the endpoint is used although its entry has lapsed, or null while the entry stands. */
    var lapsesAt: MonotonicTime? = null

    private var refusals = 0
    private var avoidedUntil: MonotonicTime? = null

    /** Whether another endpoint answered at the address. */
    var isMisdirected = false

    /** Whether the endpoint refuses work at [now], as far as is known, while others may take it. */
    fun isAvoided(now: MonotonicTime): Boolean = avoidedUntil?.let { now < it } ?: false

    /**
     * Records that the endpoint refused work at [now]. One refusal may lie in the request; after several in a row the
     * endpoint is left out for a while.
     */
    fun refused(now: MonotonicTime) {
        refusals++
        if (refusals >= REFUSALS_TO_AVOID) avoid(now + REFUSAL_PAUSE)
    }

    /** Records that the endpoint did not answer at [now]. */
    fun unanswered(now: MonotonicTime) {
        isSilent = true
        health.recordFailure(now)
    }

    /** Records that the endpoint completed a request. */
    fun succeeded() {
        isSilent = false
        health.recordSuccess()
    }

    /**
     * Records that it does not answer another instance. It is left out [until] then, unless it answers this one or this
     * one found the same itself: instances that left it out for each other would never try it again.
     */
    fun unreachableElsewhere(now: MonotonicTime, until: MonotonicTime) {
        val hasJustAnswered = lastAnswerAt?.let { now - it < RECENT_ANSWER } ?: false
        if (!hasJustAnswered && !health.isTripped) avoid(until)
    }

    /** Leaves the endpoint out until [until], unless it changes before. */
    fun avoid(until: MonotonicTime) {
        avoidedUntil = maxOf(avoidedUntil ?: until, until)
    }

    /** Takes over a changed description. A process that started anew holds nothing of before. */
    fun describe(changed: ServingEndpoint) {
        if (changed.bornAt != endpoint.bornAt || changed.address != endpoint.address) belief.clear()
        if (changed != endpoint) {
            isMisdirected = false
            avoidedUntil = null
        }
        endpoint = changed
        lapsesAt = null
    }

    /** Records that the endpoint reads the prompt [chain]. */
    fun reads(chain: List<PromptPart>) = belief.recordPrefill(chain)

    /** Takes what another instance told of its work at the endpoint, to be believed [until] it tells anew. */
    fun heard(instance: InstanceId, waitingTokens: Long, requests: Int, until: MonotonicTime) {
        val peer = peers.getOrPut(instance) { PeerLoad(EngineLoad(), until) }
        peer.load.replace(waitingTokens, requests)
        peer.until = until
    }

    /** Records that an answer took [actual] where [expected] was expected. */
    fun answered(expected: Duration, actual: Duration, now: MonotonicTime) {
        val ratio = (actual / maxOf(expected, SHORTEST_EXPECTATION)).coerceIn(LEAST_SLOWDOWN, GREATEST_SLOWDOWN)
        slowdown = currentSlowdown(now) * (1 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT
        slowdownAt = now
        lastAnswerAt = now
        refusals = 0
    }

    /** Returns the requests of all instances at the endpoint. */
    fun requests(now: MonotonicTime): Int = own.requests + freshPeers(now).sumOf { it.requests }

    /** Returns this endpoint as a candidate for a request whose prompt is [chain]. */
    fun asEngine(chain: List<PromptPart>, now: MonotonicTime): EngineCandidate = EngineCandidate(
        id = endpoint.id,
        role = endpoint.role ?: EngineRole.MIXED,
        dataCentre = endpoint.dataCentre,
        queuedTokens = own.waitingTokens + freshPeers(now).sumOf { it.waitingTokens },
        cachedTokens = belief.countCachedTokens(chain),
        requests = requests(now),
        slots = endpoint.slots,
        slowdown = maxOf(1.0, currentSlowdown(now)),
    )

    /** Returns this endpoint as a candidate for a request to a plain service. */
    fun asService(now: MonotonicTime): ServiceCandidate = ServiceCandidate(
        id = endpoint.id,
        dataCentre = endpoint.dataCentre,
        requests = requests(now),
        slots = endpoint.slots,
        slowdown = maxOf(1.0, currentSlowdown(now)),
    )

    private fun freshPeers(now: MonotonicTime): List<EngineLoad> =
        peers.values.filter { now < it.until }.map { it.load }

    /** An endpoint that was slow and is avoided gets another chance after a while. */
    private fun currentSlowdown(now: MonotonicTime): Double {
        val age = (now - slowdownAt).toDouble(DurationUnit.SECONDS)
        return 1 + (slowdown - 1) * exp(-age / SLOWDOWN_FADING.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        /** Trials come soon, since endpoints are few and mostly back within seconds. */
        val HEALTH = EndpointHealthSettings(
            failureThreshold = 2,
            initialOpenDuration = 500.milliseconds,
            maximumOpenDuration = 4.seconds,
            probeTimeout = 1.seconds,
        )

        /** A request that can't be carried out is refused at one engine after the other, by each once. */
        const val REFUSALS_TO_AVOID = 2

        /** A full or changing engine is tried again after about the time of a request. */
        val REFUSAL_PAUSE = 250.milliseconds

        /** An endpoint under work answers more often; what another instance sees may be its own connection. */
        val RECENT_ANSWER = 300.milliseconds

        val SHORTEST_EXPECTATION = 20.milliseconds
        const val LEAST_SLOWDOWN = 0.5
        const val GREATEST_SLOWDOWN = 8.0
        const val SLOWDOWN_WEIGHT = 0.1
        val SLOWDOWN_FADING = 8.seconds
    }
}
