package org.nutmegspring.node.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.TokenCount
import org.nutmegspring.node.configuration.ConfigurationView
import org.nutmegspring.node.control.UsageCounter
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.GenerationExecution
import org.nutmegspring.node.limits.Charge
import org.nutmegspring.node.limits.RateLimiter
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.node.routing.Work
import org.nutmegspring.prompt.hashPromptPieces
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds

/** What the entry needs to serve generations. */
class CompletionParts(
    val admission: Admission,
    val configuration: ConfigurationView,
    val reader: CompletionRequestReader,
    val limiter: RateLimiter,
    val chooser: EndpointChooser,
    val execution: GenerationExecution,
    val usage: UsageCounter,
    val clock: MonotonicClock,
    val epochSeconds: () -> Long,
)

/** Serves `/v1/chat/completions` and `/v1/completions`. */
class CompletionHandler(private val parts: CompletionParts) {
    /** Serves [call], whose id is [id]. */
    suspend fun serve(call: ApplicationCall, form: CompletionForm, id: RequestId) {
        val admitted = admit(call, form).getOrElse { return call.respondError(it) }
        val run = GenerationRun(parts, id, admitted)
        if (admitted.request.stream) run.stream(call) else run.whole(call)
    }

    private suspend fun admit(call: ApplicationCall, form: CompletionForm): Either<ApiError, AdmittedGeneration> =
        either {
            val caller = parts.admission.caller(call).bind()
            val body = parts.admission.body(call).bind()
            val request = parts.reader.read(form, body.decodeToString()).bind()
            val allowed = caller.organisation.models
            ensure(request.model in parts.chooser.models()) { modelNotFound(request) }
            ensure(allowed.isEmpty() || request.model in allowed) { modelNotFound(request) }
            val tokens = TokenCount(request.promptTokens + request.maximumTokens)
            val charge = parts.limiter.charge(caller.organisation.id, tokens).mapLeft(::apiErrorOf).bind()
            AdmittedGeneration(caller, request, charge)
        }

    private fun modelNotFound(request: CompletionRequest) = ApiError(
        HttpStatusCode.NotFound,
        "model_not_found",
        "the model '${request.model}' does not exist or is not open to this organisation",
        parameter = "model",
    )
}

internal class AdmittedGeneration(
    val caller: Caller,
    val request: CompletionRequest,
    val charge: Charge,
)

private class GenerationRun(
    private val parts: CompletionParts,
    private val id: RequestId,
    private val admitted: AdmittedGeneration,
) {
    private val request = admitted.request
    private val answers = CompletionAnswers(id, request, parts.epochSeconds())
    private var lastKeyCheck = parts.clock.now()
    private var tokens = 0L

    suspend fun whole(call: ApplicationCall) {
        val text = StringBuilder()
        run { text.append(it) }.fold(
            { call.respondError(apiErrorOf(it)) },
            { end ->
                val answer = answers.whole(text.toString(), end.finishReason, end.usage)
                call.respondJson(CompletionAnswer.serializer(), answer)
            },
        )
    }

    suspend fun stream(call: ApplicationCall) = coroutineScope {
        val events = Channel<String>(EVENT_BUFFER)
        val producer = launch {
            val outcome = run { text ->
                events.send(chunkText(answers.token(text, tokens == 1L)))
            }
            outcome.onLeft { failure ->
                if (tokens == 0L) events.close(FailedBeforeFirstToken(failure)) else events.send(failureText(failure))
            }.onRight { end -> finish(end, events) }
            events.close()
        }
        val first = events.receiveCatching()
        val refused = first.exceptionOrNull() as? FailedBeforeFirstToken
        if (refused != null) {
            call.respondError(apiErrorOf(refused.failure))
        } else {
            call.respondBytesWriter(ContentType.Text.EventStream) {
                first.getOrNull()?.let { event(it) }
                for (text in events) event(text)
            }
        }
        producer.join()
    }

    private suspend fun finish(end: GenerationEnd, events: Channel<String>) {
        events.send(chunkText(answers.finished(end.finishReason)))
        if (request.includeUsage) events.send(chunkText(answers.usage(end.usage)))
        events.send(DONE)
    }

    private suspend fun run(onText: suspend (String) -> Unit): Either<Failure, GenerationEnd> {
        var used = 0L
        try {
            return parts.execution.run(generation()) { _, text ->
                checkKey()
                tokens++
                onText(text)
            }.onRight { used = it.usage.totalTokens }
        } catch (revoked: KeyRevokedException) {
            return arrow.core.Either.Left(revoked.failure)
        } finally {
            val total = maxOf(used, if (tokens > 0) request.promptTokens + tokens else 0)
            admitted.charge.settle(TokenCount(total))
            if (total > 0) countUsage(total)
        }
    }

    private fun countUsage(total: Long) {
        val prompt = minOf(total, request.promptTokens)
        parts.usage.count(admitted.caller.organisation.id, prompt, total - prompt)
    }

    private fun checkKey() {
        val now = parts.clock.now()
        if (now - lastKeyCheck < KEY_CHECK_INTERVAL) return
        lastKeyCheck = now
        if (!parts.configuration.isValid(admitted.caller.key)) throw KeyRevokedException()
    }

    private fun generation(): Generation {
        val work = Work.Generation(
            admitted.caller.organisation.id,
            request.model,
            request.promptTokens,
            request.maximumTokens,
            hashPromptPieces(request.model, request.prompt),
        )
        val fixed = mapOf(
            "stream" to JsonPrimitive(true),
            "max_tokens" to JsonPrimitive(request.maximumTokens),
        )
        return Generation(id, work, request.form.path, JsonObject(request.body + fixed))
    }

    private fun chunkText(chunk: CompletionChunk) = callerJson.encodeToString(CompletionChunk.serializer(), chunk)

    private fun failureText(failure: Failure) = errorText(apiErrorOf(failure))

    private suspend fun ByteWriteChannel.event(text: String) {
        writeStringUtf8("data: $text\n\n")
        flush()
    }

    private companion object {
        const val EVENT_BUFFER = 64
        const val DONE = "[DONE]"
        val KEY_CHECK_INTERVAL = 250.milliseconds
    }
}

private class FailedBeforeFirstToken(val failure: Failure) : Exception(failure.message)

private class KeyRevokedException : Exception("the API key was revoked") {
    val failure = Failure(Step.AUTHENTICATE, Peer.CALLER, Effect.UNKNOWN, "the API key was revoked")
}
