package org.nutmegspring.endpoint

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken

/** The paths and headers that an engine's API adds to the common completions protocol. */
public object EngineProtocol {
    /** Returns the engine's [LoadReport], which is published with a delay. */
    public const val LOAD_PATH: String = "/load"

    /** Returns the engine's [EngineState] without delay. */
    public const val STATE_PATH: String = "/state"

    /** Accepts an [EngineOrder]. */
    public const val ORDERS_PATH: String = "/orders"

    /** Cancels a request; the request id is appended as a path segment. */
    public const val REQUESTS_PATH: String = "/requests"

    /** Exports and imports the hashes of the cached prompt blocks. */
    public const val CACHE_PATH: String = "/cache"

    /** Carries the request id. The engine echoes it in each chunk and in the response headers. */
    public const val REQUEST_ID_HEADER: String = "X-Request-Id"

    /** Carries the priority of a request; requests with a greater number are scheduled first. */
    public const val PRIORITY_HEADER: String = "X-Priority"

    /** Carries the number of output tokens that the caller already received; generation resumes after them. */
    public const val RESUME_HEADER: String = "X-Resume-From"
}

/** The current state of an engine, reported without delay. */
@Serializable
public data class EngineState(
    public val target: EngineTarget,
    public val changing: Boolean,
    public val acceptedSequence: Long,
    public val acceptedFencing: FencingToken,
    public val runningRequests: Int,
)

/** The token usage of a completion, in the format of the common completions protocol. */
@Serializable
public data class CompletionUsage(
    @SerialName("prompt_tokens") public val promptTokens: Long,
    @SerialName("completion_tokens") public val completionTokens: Long,
    @SerialName("total_tokens") public val totalTokens: Long = promptTokens + completionTokens,
)

/** The increment that a chunk adds to a chat message. */
@Serializable
public data class ChunkDelta(
    public val role: String? = null,
    public val content: String? = null,
)

/** One choice in a chunk. Chat completions use [delta], plain completions use [text]. */
@Serializable
public data class ChunkChoice(
    public val index: Int = 0,
    public val delta: ChunkDelta? = null,
    public val text: String? = null,
    @SerialName("finish_reason") public val finishReason: String? = null,
)

/**
 * One event of a streamed completion, in the format of the common completions protocol.
 *
 * @property position the number of tokens sent up to and including this chunk
 */
@Serializable
public data class CompletionChunk(
    public val id: String,
    @SerialName("object") public val objectType: String,
    public val created: Long = 0,
    public val model: String,
    public val choices: List<ChunkChoice>,
    public val usage: CompletionUsage? = null,
    public val position: Long? = null,
)
