package org.nutmegspring.node.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.ChunkChoice
import org.nutmegspring.endpoint.ChunkDelta
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.endpoint.CompletionUsage
import org.nutmegspring.identity.RequestId

/** The message of a whole chat answer. */
@Serializable
data class AnswerMessage(
    val role: String,
    val content: String,
)

/** The only alternative of a whole answer. */
@Serializable
data class AnswerChoice(
    val index: Int,
    val message: AnswerMessage? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String,
)

/** A whole answer in the usual form. */
@Serializable
data class CompletionAnswer(
    val id: String,
    @SerialName("object") val objectType: String,
    val created: Long,
    val model: String,
    val choices: List<AnswerChoice>,
    val usage: CompletionUsage,
)

/** Builds the answers to one request. [created] is in seconds since the epoch. */
internal class CompletionAnswers(
    private val id: RequestId,
    private val request: CompletionRequest,
    private val created: Long,
) {
    /** Returns the whole answer. */
    fun whole(text: String, finishReason: String, usage: CompletionUsage): CompletionAnswer {
        val choice = when (request.form) {
            CompletionForm.CHAT -> AnswerChoice(0, AnswerMessage("assistant", text), finishReason = finishReason)
            CompletionForm.TEXT -> AnswerChoice(0, text = text, finishReason = finishReason)
        }
        return CompletionAnswer(answerId(), request.form.wholeType, created, model(), listOf(choice), usage)
    }

    /** Returns the chunk that adds [text]. The first chunk of a chat names the role. */
    fun token(text: String, first: Boolean): CompletionChunk = chunk(
        when (request.form) {
            CompletionForm.CHAT -> ChunkChoice(delta = ChunkDelta(if (first) "assistant" else null, text))
            CompletionForm.TEXT -> ChunkChoice(text = text)
        },
    )

    /** Returns the chunk that ends the answer. */
    fun finished(finishReason: String): CompletionChunk = chunk(
        when (request.form) {
            CompletionForm.CHAT -> ChunkChoice(delta = ChunkDelta(), finishReason = finishReason)
            CompletionForm.TEXT -> ChunkChoice(text = "", finishReason = finishReason)
        },
    )

    /** Returns the chunk with usage figures that follows the last choice. */
    fun usage(usage: CompletionUsage): CompletionChunk =
        CompletionChunk(answerId(), request.form.chunkType, created, model(), emptyList(), usage)

    private fun chunk(choice: ChunkChoice) =
        CompletionChunk(answerId(), request.form.chunkType, created, model(), listOf(choice))

    private fun answerId() = "cmpl-$id"

    private fun model() = request.model.value
}
