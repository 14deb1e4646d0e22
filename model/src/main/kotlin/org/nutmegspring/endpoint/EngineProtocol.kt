package org.nutmegspring.endpoint

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingNumber

/** The paths and headers of an engine's API beside those of the usual completions protocol. */
public object EngineProtocol {
    /** The lagging load report. */
    public const val LOAD_PATH: String = "/load"

    /** The state that orders change. */
    public const val STATE_PATH: String = "/state"

    /** Takes orders. */
    public const val ORDERS_PATH: String = "/orders"

    /** Cancels the request whose id follows. */
    public const val REQUESTS_PATH: String = "/requests"

    /** The cached pieces; they may be read and written. */
    public const val CACHE_PATH: String = "/cache"

    /** Carries the id of a request. The engine repeats it in each chunk and in the answer's headers. */
    public const val REQUEST_ID_HEADER: String = "X-Request-Id"

    /** Carries the priority of a request; a greater number goes first. */
    public const val PRIORITY_HEADER: String = "X-Priority"

    /** Carries the number of output tokens that the caller already has; generation goes on after them. */
    public const val RESUME_HEADER: String = "X-Resume-From"
}

/** What an engine tells of itself without lag. */
@Serializable
public data class EngineState(
    public val target: EngineTarget,
    public val changing: Boolean,
    public val acceptedSequence: Long,
    public val acceptedFencing: FencingNumber,
    public val runningRequests: Int,
)

/** Usage figures of a completion in the usual form. */
@Serializable
public data class CompletionUsage(
    @SerialName("prompt_tokens") public val promptTokens: Long,
    @SerialName("completion_tokens") public val completionTokens: Long,
    @SerialName("total_tokens") public val totalTokens: Long = promptTokens + completionTokens,
)

/** The text that a chunk adds to a chat message. */
@Serializable
public data class ChunkDelta(
    public val role: String? = null,
    public val content: String? = null,
)

/** One alternative in a chunk. Chat completions use [delta], plain completions use [text]. */
@Serializable
public data class ChunkChoice(
    public val index: Int = 0,
    public val delta: ChunkDelta? = null,
    public val text: String? = null,
    @SerialName("finish_reason") public val finishReason: String? = null,
)

/** One event of a streamed completion in the usual form. [position] is the number of tokens sent with and before it. */
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
