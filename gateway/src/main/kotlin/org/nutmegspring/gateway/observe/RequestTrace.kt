package org.nutmegspring.gateway.observe

import org.nutmegspring.gateway.http.ConnectionProbe
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.placement.EnginePlan
import kotlin.time.Duration

/** How a request ended. */
enum class RequestOutcome {
    /** The endpoint's answer was delivered. */
    DELIVERED,

    /** The request was refused and did not run. */
    REFUSED,

    /** The request failed; it may have run. */
    FAILED,

    /** The answer was interrupted after it had started. */
    BROKEN_OFF,

    /** The caller disconnected. */
    ABANDONED,

    ;

    /** Whether the caller got no whole answer, or none that tells what became of the request. */
    val isUndelivered: Boolean get() = this == FAILED || this == BROKEN_OFF || this == ABANDONED
}

/**
 * An answer that an engine's side of the connection cut off.
 *
 * @property promptParts the shared parts of the prompt
 * @property events the events of the answer that had arrived whole
 * @property probe whether the engine accepted another connection just afterwards
 */
class Interruption(
    val promptParts: List<PromptPartId>,
    val events: Int,
    val probe: ConnectionProbe,
)

/**
 * What the decision about a request was based on.
 *
 * @property configurationVersion the version of the configuration, null before the first
 * @property evidenceAge the age of the evidence that the configuration is the newest
 * @property stop the progress of a planned stop, null while none has begun
 * @property loopDelay how late the event loop was
 */
data class DecisionBasis(
    val configurationVersion: Long?,
    val evidenceAge: Duration?,
    val stop: StopProgress? = null,
    val loopDelay: Duration = Duration.ZERO,
)

/** What marks the end of the body of an endpoint's answer. */
enum class BodyFraming {
    /** The length in its head. */
    LENGTH,

    /** The last chunk. */
    CHUNKED,

    /** The end of the connection only, so that a crash of the endpoint can look like the end of the body. */
    CONNECTION,
}

/** The course of a request: the endpoints tried, the plan and the times. */
class RequestTrace {
    /** The endpoints to which the request was sent, in order. */
    val endpoints = mutableListOf<EndpointId>()

    /** The first plan for the request, or null for a plain service. */
    var plan: EnginePlan? = null

    /** Number of prompt tokens, or null if the request does not state it. */
    var promptTokens: Int? = null

    /** When the prefill engine of a handover finished the prompt, in milliseconds since the request was accepted. */
    var prefilledMilliseconds: Long? = null

    /** Time to the first output, in milliseconds. */
    var firstOutputMilliseconds: Long? = null

    /** What marks the end of the last answer of an endpoint, or null before one has answered. */
    var framing: BodyFraming? = null

    /** Time to the end of the request, in milliseconds. */
    var elapsedMilliseconds: Long = 0

    /** The bytes of the answer's body that were handed to the caller's connection. */
    var answerBytes: Long = 0

    /** The bytes of the caller's connection that the system had not taken when the request ended, with all framing. */
    var unwrittenBytes: Long = 0
}
