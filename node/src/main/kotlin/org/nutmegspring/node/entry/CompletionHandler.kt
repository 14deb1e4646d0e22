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

/** The collaborators of [CompletionHandler]. [epochSeconds] returns the wall-clock time. */
class CompletionParts(
    val admission: CallerAdmission,
    val configuration: ConfigurationView,
    val requestReader: CompletionRequestReader,
    val limiter: RateLimiter,
    val chooser: EndpointChooser,
    val execution: GenerationExecution,
    val usage: UsageCounter,
    val clock: MonotonicClock,
    val epochSeconds: () -> Long,
)

/** Serves `/v1/chat/completions` and `/v1/completions`. */
class CompletionHandler(private val parts: CompletionParts) {
    /** Serves [call] under the request id [id]. */
    suspend fun serve(call: ApplicationCall, form: CompletionForm, id: RequestId) {
        val admitted = admit(call, form).getOrElse { return call.respondError(it) }
        val run = GenerationRun(parts, id, admitted)
        if (admitted.request.isStreamed) run.respondStreamed(call) else run.respondUnstreamed(call)
    }

    private suspend fun admit(call: ApplicationCall, form: CompletionForm): Either<ApiError, AdmittedGeneration> =
        either {
            val caller = parts.admission.authenticate(call).bind()
            val body = parts.admission.readBody(call).bind()
            val request = parts.requestReader.read(form, body.decodeToString()).bind()
            val allowed = caller.organisation.models
            ensure(request.model in parts.chooser.runningModels()) { createModelNotFoundError(request) }
            ensure(allowed.isEmpty() || request.model in allowed) { createModelNotFoundError(request) }
            val tokens = TokenCount(request.promptTokens + request.maximumTokens)
            val charge = parts.limiter.charge(caller.organisation.id, tokens).mapLeft(::apiErrorOf).bind()
            AdmittedGeneration(caller, request, charge)
        }

    private fun createModelNotFoundError(request: CompletionRequest) = ApiError(
        HttpStatusCode.NotFound,
        "model_not_found",
        "the model '${request.model}' does not exist or is not available to this organisation",
        parameter = "model",
    )
}

/** A generation that has passed authentication, validation and its rate limit. */
internal class AdmittedGeneration(
    val caller: Caller,
    val request: CompletionRequest,
    val charge: Charge,
)

/** Runs one admitted generation and writes its answer. */
private class GenerationRun(
    private val parts: CompletionParts,
    private val id: RequestId,
    private val admitted: AdmittedGeneration,
) {
    private val request = admitted.request
    private val answerFactory = CompletionAnswerFactory(id, request, parts.epochSeconds())
    private var lastKeyCheck = parts.clock.now()
    private var deliveredTokens = 0L

    suspend fun respondUnstreamed(call: ApplicationCall) {
        val text = StringBuilder()
        generate { text.append(it) }.fold(
            { call.respondError(apiErrorOf(it)) },
            { end ->
                val answer = answerFactory.createAnswer(text.toString(), end.finishReason, end.usage)
                call.respondJson(CompletionAnswer.serializer(), answer)
            },
        )
    }

    suspend fun respondStreamed(call: ApplicationCall) = coroutineScope {
        val events = Channel<String>(EVENT_BUFFER_CAPACITY)
        val producer = launch {
            val outcome = generate { text ->
                events.send(encodeChunk(answerFactory.createTokenChunk(text, deliveredTokens == 1L)))
            }
            outcome.onLeft { failure ->
                if (deliveredTokens == 0L) {
                    events.close(FailedBeforeFirstTokenException(failure))
                } else {
                    events.send(encodeFailure(failure))
                }
            }.onRight { end -> sendEnd(end, events) }
            events.close()
        }
        val firstEvent = events.receiveCatching()
        val earlyFailure = firstEvent.exceptionOrNull() as? FailedBeforeFirstTokenException
        if (earlyFailure != null) {
            call.respondError(apiErrorOf(earlyFailure.failure))
        } else {
            call.respondBytesWriter(ContentType.Text.EventStream) {
                firstEvent.getOrNull()?.let { writeEvent(it) }
                for (text in events) writeEvent(text)
            }
        }
        producer.join()
    }

    private suspend fun sendEnd(end: GenerationEnd, events: Channel<String>) {
        events.send(encodeChunk(answerFactory.createFinishChunk(end.finishReason)))
        if (request.includeUsage) events.send(encodeChunk(answerFactory.createUsageChunk(end.usage)))
        events.send(END_OF_STREAM)
    }

    private suspend fun generate(onText: suspend (String) -> Unit): Either<Failure, GenerationEnd> {
        var usedTokens = 0L
        try {
            return parts.execution.run(createGeneration()) { _, text ->
                checkKey()
                deliveredTokens++
                onText(text)
            }.onRight { usedTokens = it.usage.totalTokens }
        } catch (revoked: KeyRevokedException) {
            return arrow.core.Either.Left(revoked.failure)
        } finally {
            val totalTokens = maxOf(usedTokens, if (deliveredTokens > 0) request.promptTokens + deliveredTokens else 0)
            admitted.charge.settle(TokenCount(totalTokens))
            if (totalTokens > 0) recordUsage(totalTokens)
        }
    }

    private fun recordUsage(totalTokens: Long) {
        val promptTokens = minOf(totalTokens, request.promptTokens)
        parts.usage.count(admitted.caller.organisation.id, promptTokens, totalTokens - promptTokens)
    }

    private fun checkKey() {
        val now = parts.clock.now()
        if (now - lastKeyCheck < KEY_CHECK_INTERVAL) return
        lastKeyCheck = now
        if (!parts.configuration.isValid(admitted.caller.key)) throw KeyRevokedException()
    }

    private fun createGeneration(): Generation {
        val work = Work.Generation(
            admitted.caller.organisation.id,
            request.model,
            request.promptTokens,
            request.maximumTokens,
            hashPromptPieces(request.model, request.prompt),
        )
        val overrides = mapOf(
            "stream" to JsonPrimitive(true),
            "max_tokens" to JsonPrimitive(request.maximumTokens),
        )
        return Generation(id, work, request.form.path, JsonObject(request.body + overrides))
    }

    private fun encodeChunk(chunk: CompletionChunk) = callerJson.encodeToString(CompletionChunk.serializer(), chunk)

    private fun encodeFailure(failure: Failure) = encodeError(apiErrorOf(failure))

    private suspend fun ByteWriteChannel.writeEvent(text: String) {
        writeStringUtf8("data: $text\n\n")
        flush()
    }

    private companion object {
        /** The maximum number of streamed events that are produced ahead of the caller. */
        const val EVENT_BUFFER_CAPACITY = 64
        const val END_OF_STREAM = "[DONE]"

        /** The minimum time between two checks that the API key of a running generation is still valid. */
        val KEY_CHECK_INTERVAL = 250.milliseconds
    }
}

/** Closes the event channel when no token was delivered, so that the caller still receives an HTTP error status. */
private class FailedBeforeFirstTokenException(val failure: Failure) : Exception(failure.message)

/** Ends a running generation because its API key is no longer valid. */
private class KeyRevokedException : Exception("the API key was revoked") {
    val failure = Failure(Step.AUTHENTICATE, Peer.CALLER, Effect.UNKNOWN, "the API key was revoked")
}
