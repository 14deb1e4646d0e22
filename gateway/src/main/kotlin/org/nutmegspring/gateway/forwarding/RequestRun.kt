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
import org.nutmegspring.gateway.observe.RequestTrace
import org.nutmegspring.gateway.wire.Dispatch
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How serving a request ended, as far as the caller was not answered yet. */
sealed interface RunEnd {
    /** An endpoint's answer was delivered with [status]. */
    data class Delivered(val status: Int) : RunEnd

    /** The request has not run. */
    data class NotRun(val reason: String, val comeBackAfter: Duration) : RunEnd

    /** The request failed and may have run. */
    data class Failed(val reason: String, val isTimeout: Boolean) : RunEnd

    /** The answer broke off after its start. */
    data class BrokenOff(val reason: String) : RunEnd
}

/** A prompt that [reader] holds under [handle] until it is fetched. */
class ReadPrompt(val reader: EndpointState, val handle: String, val plan: EnginePlan.Handover)

/** One request on its way through the gateway, with what its attempts have in common. */
class RequestRun(
    /** The request. */
    val admitted: AdmittedRequest,
    /** The caller. */
    val exchange: CallerExchange,
    /** When the answer has to be given. */
    val deadline: MonotonicTime,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    /** What happened so far. */
    val trace = RequestTrace().also { it.promptTokens = admitted.facts.prompt?.promptTokens }

    /** Endpoints that are not tried again. */
    val tried = LinkedHashSet<EndpointId>()

    /** How often an engine was asked to read the prompt. */
    var prefillCalls = 0

    /** The prompt that an engine has read and that no other has fetched yet, as far as is known. */
    var unfetched: ReadPrompt? = null

    /** Whether an endpoint may have begun to run the request. */
    var mayHaveRun = false

    /** The id of the request. */
    val id: RequestId = checkNotNull(admitted.facts.id) { "an admitted request has an id" }

    private val startedAt = clock.now()

    /** The time left until the deadline. */
    fun timeLeft(): Duration = (deadline - clock.now()).coerceAtLeast(Duration.ZERO)

    /** The time left until the caller leaves without a first output. */
    fun firstOutputTimeLeft(): Duration =
        minOf(timeLeft(), admitted.route.firstOutputPatience - (clock.now() - startedAt))

    /** The time since the request was taken up, in milliseconds. */
    fun elapsedMilliseconds(): Long = (clock.now() - startedAt).inWholeMilliseconds

    /** Whether another endpoint may be tried after one attempt that failed with [effect]. */
    fun mayTryAgain(effect: Effect): Boolean {
        val isAllowed = effect == Effect.NOT_RUN || admitted.route.kind.isRepeatable
        return isAllowed && trace.endpoints.size < admitted.route.maximumAttempts && timeLeft() > LEAST_TIME
    }

    /** Returns how the request is sent to [endpoint]. */
    fun dispatch(endpoint: EndpointState, stage: DispatchStage, lastEvent: String?) = Dispatch(
        endpoint = endpoint.endpoint,
        timeLeft = timeLeft(),
        organisation = admitted.organisation?.id,
        urgency = admitted.urgency,
        stage = stage,
        lastEvent = lastEvent,
    )

    /** Records that the attempt at [endpoint] failed. */
    fun failed(endpoint: EndpointState, failure: Failure) {
        if (failure.effect == Effect.UNKNOWN) mayHaveRun = true
        log.record(DecisionEvent.AttemptFailed(id, endpoint.endpoint.id, failure, elapsedMilliseconds()))
    }

    /** Returns the failure of a request that was not answered in time by [peer]. */
    fun timedOut(peer: String) =
        Failure(Step.READ_ANSWER, Peer(peer), Effect.UNKNOWN, "no answer after ${elapsedMilliseconds()} ms")

    private companion object {
        /** With less time left an endpoint can't complete anything. */
        val LEAST_TIME = 20.milliseconds
    }
}

/** Runs [block] for at most [timeout] and returns null when that has passed. */
internal suspend fun <T : Any> within(timeout: Duration, block: suspend () -> T?): T? =
    withTimeoutOrNull(timeout) { block() }
