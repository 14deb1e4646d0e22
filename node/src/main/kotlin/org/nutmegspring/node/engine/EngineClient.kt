package org.nutmegspring.node.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.context.Context
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.TokenSink
import org.nutmegspring.node.observe.Telemetry
import java.io.IOException
import java.net.ConnectException

/** Calls engines over HTTP with the OpenAI-compatible completions protocol. */
class EngineClient(
    private val client: HttpClient,
    private val telemetry: Telemetry,
) : EngineCaller {
    override suspend fun generate(
        endpoint: EndpointDescription,
        generation: Generation,
        resumeAfter: Long,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd> {
        val span = telemetry.tracer.spanBuilder("engine").setSpanKind(SpanKind.CLIENT)
            .setAttribute("endpoint", endpoint.id.value)
            .setAttribute("request", generation.id.value)
            .startSpan()
        val peer = Peer("engine ${endpoint.id}")
        val context = Context.current().with(span)
        return try {
            attempt(endpoint, generation, resumeAfter, context, AnswerReader(generation.id.value, peer, sink))
                .onLeft { span.setStatus(StatusCode.ERROR, it.message) }
        } finally {
            span.end()
        }
    }

    private suspend fun attempt(
        endpoint: EndpointDescription,
        generation: Generation,
        resumeAfter: Long,
        context: Context,
        reader: AnswerReader,
    ): Either<Failure, GenerationEnd> = try {
        client.preparePost("http://${endpoint.address}${generation.path}") {
            contentType(ContentType.Application.Json)
            header(EngineProtocol.REQUEST_ID_HEADER, generation.id.value)
            if (resumeAfter > 0) header(EngineProtocol.RESUME_HEADER, resumeAfter)
            injectTraceContext(telemetry, context)
            setBody(Json.encodeToString(generation.body))
        }.execute { response -> reader.read(response) }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (refused: ConnectException) {
        reader.createFailure(Step.CONNECT, Effect.NOT_RUN, refused.message ?: "connection refused").left()
    } catch (disconnected: IOException) {
        reader.createFailure(Step.READ_ANSWER, Effect.UNKNOWN, disconnected.message ?: disconnected.toString()).left()
    }
}

/** Reads the streamed answer to the request [id] and passes its tokens to [sink]. */
private class AnswerReader(
    private val id: String,
    private val peer: Peer,
    private val sink: TokenSink,
) {
    suspend fun read(response: HttpResponse): Either<Failure, GenerationEnd> = when (response.status) {
        HttpStatusCode.OK -> {
            readEvents(response)
        }

        HttpStatusCode.ServiceUnavailable, HttpStatusCode.NotFound, HttpStatusCode.TooManyRequests -> {
            createFailure(Step.SEND, Effect.NOT_RUN, "the engine refused with status ${response.status.value}").left()
        }

        else -> {
            createFailure(Step.READ_ANSWER, Effect.UNKNOWN, "${response.status.value} ${readDetail(response)}").left()
        }
    }

    fun createFailure(step: Step, effect: Effect, message: String) = Failure(step, peer, effect, message)

    private suspend fun readEvents(response: HttpResponse): Either<Failure, GenerationEnd> {
        val channel = response.bodyAsChannel()
        var end: GenerationEnd? = null
        while (true) {
            val line = channel.readLine() ?: break
            if (!line.startsWith(DATA_PREFIX)) continue
            val data = line.substring(DATA_PREFIX.length)
            if (data == END_OF_STREAM) return end?.right() ?: createEarlyEndFailure()
            val chunk = parseChunk(data)
                ?: return createFailure(Step.READ_ANSWER, Effect.UNKNOWN, "malformed event").left()
            if (chunk.id != id) {
                return createFailure(Step.READ_ANSWER, Effect.UNKNOWN, "answer to another request").left()
            }
            end = deliver(chunk) ?: end
        }
        return createEarlyEndFailure()
    }

    private suspend fun deliver(chunk: CompletionChunk): GenerationEnd? {
        val choice = chunk.choices.firstOrNull() ?: return null
        val text = choice.delta?.content ?: choice.text
        if (!text.isNullOrEmpty()) sink.onToken(chunk.position ?: 0, text)
        val reason = choice.finishReason ?: return null
        return chunk.usage?.let { GenerationEnd(reason, it) }
    }

    private fun parseChunk(data: String): CompletionChunk? = try {
        JSON.decodeFromString(CompletionChunk.serializer(), data)
    } catch (_: SerializationException) {
        null
    }

    private suspend fun readDetail(response: HttpResponse) = response.bodyAsText().take(MAXIMUM_ERROR_CHARACTERS)

    private fun createEarlyEndFailure() =
        createFailure(Step.READ_ANSWER, Effect.UNKNOWN, "the answer ended early").left()

    private companion object {
        const val DATA_PREFIX = "data: "
        const val END_OF_STREAM = "[DONE]"
        const val MAXIMUM_ERROR_CHARACTERS = 200
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
