package org.nutmegspring.node.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.ChunkChoice
import org.nutmegspring.endpoint.ChunkDelta
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.endpoint.CompletionUsage
import org.nutmegspring.identity.RequestId

/** The message of an unstreamed chat answer. */
@Serializable
data class AnswerMessage(
    val role: String,
    val content: String,
)

/** The single choice of an unstreamed answer: [message] for a chat request, [text] for a text request. */
@Serializable
data class AnswerChoice(
    val index: Int,
    val message: AnswerMessage? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String,
)

/** An unstreamed answer in the OpenAI-compatible format. */
@Serializable
data class CompletionAnswer(
    val id: String,
    @SerialName("object") val objectType: String,
    val created: Long,
    val model: String,
    val choices: List<AnswerChoice>,
    val usage: CompletionUsage,
)

/** Creates the answer or the streamed chunks for one request. [created] is in seconds since the Unix epoch. */
internal class CompletionAnswerFactory(
    private val id: RequestId,
    private val request: CompletionRequest,
    private val created: Long,
) {
    /** Returns the complete answer to an unstreamed request. */
    fun createAnswer(text: String, finishReason: String, usage: CompletionUsage): CompletionAnswer {
        val choice = when (request.form) {
            CompletionForm.CHAT -> AnswerChoice(0, AnswerMessage("assistant", text), finishReason = finishReason)
            CompletionForm.TEXT -> AnswerChoice(0, text = text, finishReason = finishReason)
        }
        return CompletionAnswer(formatAnswerId(), request.form.answerType, created, modelName(), listOf(choice), usage)
    }

    /** Returns the chunk that carries [text]. The first chunk of a chat also carries the role. */
    fun createTokenChunk(text: String, isFirst: Boolean): CompletionChunk = createChunk(
        when (request.form) {
            CompletionForm.CHAT -> ChunkChoice(delta = ChunkDelta(if (isFirst) "assistant" else null, text))
            CompletionForm.TEXT -> ChunkChoice(text = text)
        },
    )

    /** Returns the chunk that carries the finish reason, after the last token. */
    fun createFinishChunk(finishReason: String): CompletionChunk = createChunk(
        when (request.form) {
            CompletionForm.CHAT -> ChunkChoice(delta = ChunkDelta(), finishReason = finishReason)
            CompletionForm.TEXT -> ChunkChoice(text = "", finishReason = finishReason)
        },
    )

    /** Returns the chunk that carries the usage and no choices, after the chunk with the finish reason. */
    fun createUsageChunk(usage: CompletionUsage): CompletionChunk =
        CompletionChunk(formatAnswerId(), request.form.chunkType, created, modelName(), emptyList(), usage)

    private fun createChunk(choice: ChunkChoice) =
        CompletionChunk(formatAnswerId(), request.form.chunkType, created, modelName(), listOf(choice))

    private fun formatAnswerId() = "cmpl-$id"

    private fun modelName() = request.model.value
}
