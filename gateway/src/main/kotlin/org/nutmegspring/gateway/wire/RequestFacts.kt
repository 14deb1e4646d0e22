package org.nutmegspring.gateway.wire

import org.nutmegspring.gateway.configuration.ApiKey
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.placement.PromptPart
import kotlin.time.Duration

/**
 * What a request tells of its prompt.
 *
 * @property chain the parts of the prompt in order; the last one belongs to this request or its session alone
 */
data class PromptFacts(
    val model: String,
    val promptTokens: Int,
    val outputTokens: Int,
    val chain: List<PromptPart>,
) {
    /** Tokens at the start of the prompt that other requests share. */
    val sharedTokens: Int get() = chain.dropLast(1).sumOf { it.tokens }
}

/**
 * What the head of a caller's request tells.
 *
 * @property timeLeft how long the caller waits, null when it does not tell
 * @property lastEvent the event after which the caller resumes a stream
 */
data class RequestFacts(
    val id: RequestId?,
    val timeLeft: Duration?,
    val key: ApiKey?,
    val prompt: PromptFacts?,
    val lastEvent: String?,
)

/** Which part of a request's work an endpoint is asked for. */
sealed interface DispatchStage {
    /** All of it. */
    data object Whole : DispatchStage

    /** Reading the prompt only. */
    data object Prefill : DispatchStage

    /** Generating from what [source] read and holds as [handle]. */
    data class Generate(val source: String, val handle: String) : DispatchStage
}

/**
 * How a request is sent to an endpoint.
 *
 * @property timeLeft how long the endpoint may work
 * @property lastEvent the last event that the caller has, when a run is resumed
 */
data class Dispatch(
    val endpoint: ServingEndpoint,
    val timeLeft: Duration,
    val organisation: OrganisationId?,
    val urgency: Int,
    val stage: DispatchStage,
    val lastEvent: String?,
)

/**
 * What the head of an endpoint's answer tells.
 *
 * @property isSigned whether the answer was made by the endpoint for this request
 * @property hasNotRun whether the endpoint states that it did not run the request
 * @property isOtherEndpoint whether another endpoint has the address now; the request did not run there
 */
data class AnswerFacts(
    val requestId: RequestId?,
    val isSigned: Boolean,
    val hasNotRun: Boolean,
    val isOtherEndpoint: Boolean,
)

/** A prompt that an engine has read and holds for another engine. */
data class PrefilledPrompt(
    val handle: String,
    val tokens: Int,
)
