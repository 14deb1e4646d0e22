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

/** Which of the two usual forms a completion request has. */
enum class CompletionForm(
    /** The path for callers and at engines. */
    val path: String,
    /** The `object` of a whole answer. */
    val wholeType: String,
    /** The `object` of a streamed chunk. */
    val chunkType: String,
) {
    /** A list of messages. */
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),

    /** A prompt text. */
    TEXT("/v1/completions", "text_completion", "text_completion"),
}

/**
 * A valid completion request.
 *
 * @property body the caller's whole body, in which unknown fields are passed on to the engine
 * @property includeUsage whether a streamed answer ends with usage figures
 */
data class CompletionRequest(
    val form: CompletionForm,
    val model: ModelId,
    val prompt: String,
    val promptTokens: Long,
    val maximumTokens: Long,
    val stream: Boolean,
    val includeUsage: Boolean,
    val body: JsonObject,
)

/** Reads completion requests and says what is wrong with those that are not valid. */
class CompletionRequestReader(private val settings: GenerationSettings) {
    /** Returns the request in [text]. */
    fun read(form: CompletionForm, text: String): Either<ApiError, CompletionRequest> = either {
        val body = json(text).bind()
        val model = body.text("model")
        ensureNotNull(model) { invalidRequest("'model' must be a text", "model") }
        val prompt = prompt(form, body)
        ensureNotNull(prompt) { invalidRequest(promptMessage(form), promptName(form)) }
        ensure((body["n"]?.let { (it as? JsonPrimitive)?.longOrNull } ?: 1L) == 1L) {
            invalidRequest("'n' must be 1", "n")
        }
        CompletionRequest(
            form = form,
            model = ModelId(model),
            prompt = prompt,
            promptTokens = countTokens(prompt),
            maximumTokens = maximumTokens(body).bind(),
            stream = body.flag("stream"),
            includeUsage = (body["stream_options"] as? JsonObject)?.flag("include_usage") ?: false,
            body = body,
        )
    }

    private fun json(text: String): Either<ApiError, JsonObject> {
        val element = try {
            Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            null
        }
        return (element as? JsonObject)?.right() ?: invalidRequest("the body is not a JSON object").left()
    }

    private fun maximumTokens(body: JsonObject): Either<ApiError, Long> {
        val name = if ("max_completion_tokens" in body) "max_completion_tokens" else "max_tokens"
        val range = 1..settings.largestMaximumTokens
        val value = body[name]?.let { (it as? JsonPrimitive)?.longOrNull ?: 0 } ?: settings.defaultMaximumTokens
        if (value in range) return value.right()
        return invalidRequest("'$name' must be a whole number in $range", name).left()
    }

    private fun prompt(form: CompletionForm, body: JsonObject): String? = when (form) {
        CompletionForm.TEXT -> body.text("prompt")
        CompletionForm.CHAT -> (body["messages"] as? JsonArray)?.takeIf { it.isNotEmpty() }?.let { messages(it) }
    }

    private fun messages(messages: JsonArray): String? {
        val texts = messages.map { message(it) }
        return if (texts.any { it == null }) null else texts.joinToString("\n")
    }

    private fun message(element: JsonElement): String? {
        val message = element as? JsonObject
        val role = message?.text("role")
        val content = message?.get("content")?.let { content(it) }
        return if (role == null || content == null) null else "$role: $content"
    }

    private fun content(given: JsonElement): String? = when (given) {
        is JsonPrimitive -> {
            given.contentOrNull.orEmpty()
        }

        is JsonArray -> {
            val parts = given.map { (it as? JsonObject)?.text("text") }
            if (parts.any { it == null }) null else parts.joinToString("")
        }

        is JsonObject -> {
            null
        }
    }

    private fun promptName(form: CompletionForm) = if (form == CompletionForm.CHAT) "messages" else "prompt"

    private fun promptMessage(form: CompletionForm) = when (form) {
        CompletionForm.CHAT -> "'messages' must be a list of messages with 'role' and 'content'"
        CompletionForm.TEXT -> "'prompt' must be a text"
    }
}

private fun JsonObject.text(name: String): String? =
    (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun JsonObject.flag(name: String): Boolean = (this[name] as? JsonPrimitive)?.booleanOrNull ?: false
