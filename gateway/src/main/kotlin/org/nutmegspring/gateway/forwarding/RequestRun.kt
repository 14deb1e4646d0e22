package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.configuration.isRepeatable
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.http.CallerExchange
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.Interruption
import org.nutmegspring.gateway.observe.RequestTrace
import org.nutmegspring.gateway.wire.Dispatch
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How serving a request ended, and thus what part of the answer the caller has not received yet. */
sealed interface RunEnd {
    /** An endpoint's answer was delivered with [status]. */
    data class Delivered(val status: Int) : RunEnd

    /** The request has not run. */
    data class NotRun(val reason: String, val retryAfter: Duration) : RunEnd

    /** The request failed and may have run. */
    data class Failed(val reason: String, val isTimeout: Boolean) : RunEnd

    /** The answer broke off after its start. */
    data class BrokenOff(val reason: String) : RunEnd
}

/** A prefilled prompt that [prefillEngine] holds under [handle] until a decode engine fetches it. */
class PendingHandover(val prefillEngine: EndpointState, val handle: String, val plan: EnginePlan.Handover)

/**
 * The state of one request that is shared by all its attempts.
 *
 * @param readDelay how long the request may have waited unread, by which endpoints are given less time
 */
class RequestRun(
    /** The request. */
    val admitted: AdmittedRequest,
    /** The caller. */
    val exchange: CallerExchange,
    /** The deadline of the answer. */
    val deadline: MonotonicTime,
    private val readDelay: Duration,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    /** The trace of the request so far. */
    val trace = RequestTrace().also { it.promptTokens = admitted.facts.prompt?.promptTokens }

    /** Endpoints excluded from further attempts. */
    val excluded = LinkedHashSet<EndpointId>()

    /** The number of prefill requests sent. */
    var prefillAttempts = 0

    /** The prefilled prompt that no decode engine is known to have fetched yet. */
    var pendingHandover: PendingHandover? = null

    /** Whether an endpoint may have begun to run the request. */
    var mayHaveRun = false

    /** The parts of the prompt that other requests may share, in order; empty without a prompt. */
    val sharedParts: List<PromptPartId> get() = admitted.facts.prompt?.sharedParts.orEmpty()

    /** The id of the request. */
    val id: RequestId = checkNotNull(admitted.facts.id) { "an admitted request has an id" }

    /** When the request was admitted and charged. */
    val startedAt: MonotonicTime = clock.now()

    /** The time left until the deadline. */
    fun timeLeft(): Duration = (deadline - clock.now()).coerceAtLeast(Duration.ZERO)

    /** The time left until the caller gives up waiting for a first output. */
    fun firstOutputTimeLeft(): Duration =
        minOf(timeLeft(), admitted.route.firstOutputTimeout - (clock.now() - startedAt))

    /** The time since the start of the request, in milliseconds. */
    fun elapsedMilliseconds(): Long = (clock.now() - startedAt).inWholeMilliseconds

    /** Whether the request can be retried after an attempt that failed with [effect]. */
    fun canRetry(effect: Effect): Boolean {
        val isAllowed = effect == Effect.NOT_RUN || admitted.route.kind.isRepeatable
        return isAllowed && trace.endpoints.size < admitted.route.maximumAttempts && timeLeft() > MINIMUM_RETRY_TIME
    }

    /** Creates the dispatch of the request to [endpoint]. */
    fun createDispatch(endpoint: EndpointState, stage: DispatchStage, lastEvent: String?) = Dispatch(
        endpoint = endpoint.endpoint,
        timeLeft = (timeLeft() - readDelay).coerceAtLeast(Duration.ZERO),
        organisation = admitted.organisation?.id,
        urgency = admitted.urgency,
        stage = stage,
        lastEvent = lastEvent,
    )

    /** Records that the attempt at [endpoint] failed, with [interruption] if the endpoint cut off its answer. */
    fun recordFailure(endpoint: EndpointState, failure: Failure, interruption: Interruption? = null) {
        if (failure.effect == Effect.UNKNOWN) mayHaveRun = true
        log.record(DecisionEvent.AttemptFailed(id, endpoint.endpoint.id, failure, elapsedMilliseconds(), interruption))
    }

    /** Returns the failure of a request that was not answered in time by [peer]. */
    fun timeoutFailure(peer: String) =
        Failure(Step.READ_ANSWER, Peer(peer), Effect.UNKNOWN, "no answer after ${elapsedMilliseconds()} ms")

    private companion object {
        /** With less time left an endpoint cannot complete a request. */
        val MINIMUM_RETRY_TIME = 20.milliseconds
    }
}

/** Runs [block] for at most [timeout] and returns null when that has passed. */
internal suspend fun <T : Any> awaitWithin(timeout: Duration, block: suspend () -> T?): T? =
    withTimeoutOrNull(timeout) { block() }
