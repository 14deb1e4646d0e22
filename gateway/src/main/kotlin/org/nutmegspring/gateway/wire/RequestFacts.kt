package org.nutmegspring.gateway.wire

import org.nutmegspring.gateway.configuration.ApiKey
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.placement.PromptPart
import kotlin.time.Duration

/**
 * What a request states about its prompt.
 *
 * @property chain the parts of the prompt in order; the last one belongs to this request or its session alone
 * @property sharedParts the ids of the parts in order, without the last one
 */
data class PromptFacts(
    val model: String,
    val promptTokens: Int,
    val outputTokens: Int,
    val chain: List<PromptPart>,
    val sharedParts: List<PromptPartId> = emptyList(),
) {
    /** Tokens at the start of the prompt that other requests share. */
    val sharedTokens: Int get() = chain.dropLast(1).sumOf { it.tokens }
}

/**
 * The contents of the head of a caller's request.
 *
 * @property timeLeft how long the caller waits, null when not stated
 * @property lastEvent the event after which the caller resumes a stream
 */
data class RequestFacts(
    val id: RequestId?,
    val timeLeft: Duration?,
    val key: ApiKey?,
    val prompt: PromptFacts?,
    val lastEvent: String?,
)

/** The stage of a request that an endpoint is asked to run. */
sealed interface DispatchStage {
    /** Prefill and decode. */
    data object Whole : DispatchStage

    /** Prefill only. */
    data object Prefill : DispatchStage

    /** Decode from the KV cache that [source] holds as [handle]. */
    data class Generate(val source: String, val handle: String) : DispatchStage
}

/**
 * How a request is sent to an endpoint.
 *
 * @property timeLeft the time limit of the endpoint
 * @property lastEvent the last event that the caller received, when a stream is resumed
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
 * The contents of the head of an endpoint's answer.
 *
 * @property isSigned whether the answer was made by the endpoint for this request
 * @property hasNotRun whether the endpoint states that it did not run the request
 * @property isOtherEndpoint whether another endpoint has the address now; the request did not run there
 * @property requestsPerSecond the limit that the endpoint names for all instances together, null without one
 * @property load what the endpoint tells of its load
 * @property remainingColdTime how long the endpoint stays cold, zero if it is not, null when it does not tell
 * @property isLeaving whether the endpoint states that it is leaving and takes no new work
 * @property retryAfter how long nothing may be sent to the endpoint, null unless it refused the request and stated it
 * @property unreadable the headers whose values could not be read and are ignored, with the values
 */
data class AnswerFacts(
    val requestId: RequestId?,
    val isSigned: Boolean,
    val hasNotRun: Boolean,
    val isOtherEndpoint: Boolean,
    val requestsPerSecond: Double? = null,
    val load: LoadStatement = LoadStatement.None,
    val remainingColdTime: Duration? = null,
    val isLeaving: Boolean = false,
    val retryAfter: Duration? = null,
    val unreadable: List<String> = emptyList(),
)

/** What an endpoint tells of its load in an answer. */
sealed interface LoadStatement {
    /** It tells nothing. */
    data object None : LoadStatement

    /** What it tells, [text], cannot be read. */
    data class Unreadable(val text: String) : LoadStatement

    /**
     * The load when the answer was made.
     *
     * @property workTimeRatio how long work takes at the moment relative to usual, null if it is not told
     */
    data class Told(
        val running: Int,
        val waiting: Int,
        val slots: Int,
        val workTimeRatio: Double?,
    ) : LoadStatement
}

/** A prompt that an engine has prefilled and holds for another engine. */
data class PrefilledPrompt(
    val handle: String,
    val tokens: Int,
)
