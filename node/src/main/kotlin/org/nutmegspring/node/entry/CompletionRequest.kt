package org.nutmegspring.node.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import org.nutmegspring.identity.ModelId
import org.nutmegspring.node.settings.GenerationSettings
import org.nutmegspring.prompt.countTokens

/** The two OpenAI-compatible forms of a completion request. */
enum class CompletionForm(
    /** The HTTP path, the same for callers and on engines. */
    val path: String,
    /** The `object` field of an unstreamed answer. */
    val answerType: String,
    /** The `object` field of a streamed chunk. */
    val chunkType: String,
) {
    /** A chat, given as a list of messages. */
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),

    /** A text completion, given as a prompt string. */
    TEXT("/v1/completions", "text_completion", "text_completion"),
}

/**
 * A valid completion request.
 *
 * @property maximumTokens the maximum number of generated tokens
 * @property isStreamed whether the answer is sent as a stream of chunks
 * @property body the caller's complete body; fields unknown to this instance are forwarded to the engine
 * @property includeUsage whether a streamed answer ends with a usage chunk
 */
data class CompletionRequest(
    val form: CompletionForm,
    val model: ModelId,
    val prompt: String,
    val promptTokens: Long,
    val maximumTokens: Long,
    val isStreamed: Boolean,
    val includeUsage: Boolean,
    val body: JsonObject,
)

/** Parses and validates completion requests. */
class CompletionRequestReader(private val settings: GenerationSettings) {
    /** Returns the request in the JSON [text], or an error that describes the first invalid field. */
    fun read(form: CompletionForm, text: String): Either<ApiError, CompletionRequest> = either {
        val body = parseObject(text).bind()
        val model = body.findString("model")
        ensureNotNull(model) { createInvalidRequestError("'model' must be a string", "model") }
        val prompt = readPrompt(form, body)
        ensureNotNull(prompt) { createInvalidRequestError(describePromptError(form), findPromptField(form)) }
        ensure((body["n"]?.let { (it as? JsonPrimitive)?.longOrNull } ?: 1L) == 1L) {
            createInvalidRequestError("'n' must be 1", "n")
        }
        CompletionRequest(
            form = form,
            model = ModelId(model),
            prompt = prompt,
            promptTokens = countTokens(prompt),
            maximumTokens = readMaximumTokens(body).bind(),
            isStreamed = body.readFlag("stream"),
            includeUsage = (body["stream_options"] as? JsonObject)?.readFlag("include_usage") ?: false,
            body = body,
        )
    }

    private fun parseObject(text: String): Either<ApiError, JsonObject> {
        val element = try {
            Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            null
        }
        return (element as? JsonObject)?.right() ?: createInvalidRequestError("the body is not a JSON object").left()
    }

    private fun readMaximumTokens(body: JsonObject): Either<ApiError, Long> {
        val name = if ("max_completion_tokens" in body) "max_completion_tokens" else "max_tokens"
        val range = 1..settings.largestMaximumTokens
        val value = body[name]?.let { (it as? JsonPrimitive)?.longOrNull ?: 0 } ?: settings.defaultMaximumTokens
        if (value in range) return value.right()
        return createInvalidRequestError("'$name' must be a whole number in $range", name).left()
    }

    private fun readPrompt(form: CompletionForm, body: JsonObject): String? = when (form) {
        CompletionForm.TEXT -> body.findString("prompt")
        CompletionForm.CHAT -> (body["messages"] as? JsonArray)?.takeIf { it.isNotEmpty() }?.let { joinMessages(it) }
    }

    private fun joinMessages(messages: JsonArray): String? {
        val texts = messages.map { formatMessage(it) }
        return if (texts.any { it == null }) null else texts.joinToString("\n")
    }

    private fun formatMessage(element: JsonElement): String? {
        val message = element as? JsonObject
        val role = message?.findString("role")
        val content = message?.get("content")?.let { readContent(it) }
        return if (role == null || content == null) null else "$role: $content"
    }

    private fun readContent(content: JsonElement): String? = when (content) {
        is JsonPrimitive -> {
            content.contentOrNull.orEmpty()
        }

        is JsonArray -> {
            val parts = content.map { (it as? JsonObject)?.findString("text") }
            if (parts.any { it == null }) null else parts.joinToString("")
        }

        is JsonObject -> {
            null
        }
    }

    private fun findPromptField(form: CompletionForm) = if (form == CompletionForm.CHAT) "messages" else "prompt"

    private fun describePromptError(form: CompletionForm) = when (form) {
        CompletionForm.CHAT -> "'messages' must be a list of messages with 'role' and 'content'"
        CompletionForm.TEXT -> "'prompt' must be a string"
    }
}

private fun JsonObject.findString(name: String): String? =
    (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun JsonObject.readFlag(name: String): Boolean = (this[name] as? JsonPrimitive)?.booleanOrNull ?: false
