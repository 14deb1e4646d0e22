package org.nutmegspring.node.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.utils.io.readRemaining
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.context.Context
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.execution.isOwnAnswer
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.RequestId
import org.nutmegspring.node.observe.Telemetry
import java.io.IOException
import java.net.ConnectException

/** An HTTP header of a request or an answer. */
data class Header(
    val name: String,
    val value: String,
)

/** A request to a plain service. [path] starts with `/` and includes the query string. */
class ServiceRequest(
    val id: RequestId,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
)

/** The answer of a plain service. */
class ServiceAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** Calls plain services over HTTP. An answer larger than [maximumAnswerBytes] is a failure. */
class ServiceClient(
    private val client: HttpClient,
    private val telemetry: Telemetry,
    private val maximumAnswerBytes: Long,
) : ServiceCaller {
    override suspend fun call(endpoint: EndpointDescription, request: ServiceRequest): Either<Failure, ServiceAnswer> {
        val span = telemetry.tracer.spanBuilder("service").setSpanKind(SpanKind.CLIENT)
            .setAttribute("endpoint", endpoint.id.value)
            .setAttribute("request", request.id.value)
            .startSpan()
        return try {
            attempt(endpoint, request, Context.current().with(span))
                .onLeft { span.setStatus(StatusCode.ERROR, it.message) }
        } finally {
            span.end()
        }
    }

    private suspend fun attempt(
        endpoint: EndpointDescription,
        request: ServiceRequest,
        context: Context,
    ): Either<Failure, ServiceAnswer> {
        val peer = Peer("service ${endpoint.id}")
        return try {
            client.prepareRequest("http://${endpoint.address}${request.path}") {
                method = HttpMethod(request.method)
                request.headers.forEach { header(it.name, it.value) }
                header(EngineProtocol.REQUEST_ID_HEADER, request.id.value)
                injectTraceContext(telemetry, context)
                setBody(request.body)
            }.execute { response -> readAnswer(response, request.id, peer) }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (refused: ConnectException) {
            Failure(Step.CONNECT, peer, Effect.NOT_RUN, refused.message ?: "connection refused").left()
        } catch (disconnected: IOException) {
            Failure(Step.READ_ANSWER, peer, Effect.UNKNOWN, disconnected.message ?: disconnected.toString()).left()
        }
    }

    private suspend fun readAnswer(response: HttpResponse, id: RequestId, peer: Peer): Either<Failure, ServiceAnswer> {
        val answeredId = response.headers[EngineProtocol.REQUEST_ID_HEADER]
        if (!isOwnAnswer(id, answeredId)) {
            return Failure(Step.READ_ANSWER, peer, Effect.UNKNOWN, "answer to another request").left()
        }
        val channel = response.bodyAsChannel()
        val body = channel.readRemaining(maximumAnswerBytes + 1).readByteArray()
        // A limited read ends without an error where the answer breaks off.
        channel.closedCause?.let { throw it }
        if (body.size > maximumAnswerBytes) {
            val message = "the answer is larger than $maximumAnswerBytes bytes"
            return Failure(Step.READ_ANSWER, peer, Effect.UNKNOWN, message).left()
        }
        val length = response.contentLength().takeIf { response.request.method != HttpMethod.Head }
        if (length != null && body.size < length) {
            val message = "the answer was cut off after ${body.size} of $length bytes"
            return Failure(Step.READ_ANSWER, peer, Effect.UNKNOWN, message).left()
        }
        val headers = response.headers.entries().flatMap { (name, values) -> values.map { Header(name, it) } }
        return ServiceAnswer(response.status.value, headers, body).right()
    }
}
