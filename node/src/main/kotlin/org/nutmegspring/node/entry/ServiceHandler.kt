package org.nutmegspring.node.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.queryString
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import org.nutmegspring.execution.isRepeatable
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.identity.TokenCount
import org.nutmegspring.node.configuration.ConfigurationView
import org.nutmegspring.node.control.UsageCounter
import org.nutmegspring.node.engine.Header
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.execution.ServiceExecution
import org.nutmegspring.node.limits.RateLimiter
import org.nutmegspring.node.routing.Work

/** The collaborators of [ServiceHandler]. */
class ServiceParts(
    val admission: CallerAdmission,
    val configuration: ConfigurationView,
    val limiter: RateLimiter,
    val execution: ServiceExecution,
    val usage: UsageCounter,
)

/** Serves `/services/{service}/…`. */
class ServiceHandler(private val parts: ServiceParts) {
    /** Forwards [call] to the service [serviceId] under the request id [id] and responds with its answer. */
    suspend fun serve(call: ApplicationCall, serviceId: ServiceId, id: RequestId) {
        execute(call, serviceId, id).getOrElse { return call.respondError(it) }.let { respond(call, it) }
    }

    private suspend fun execute(
        call: ApplicationCall,
        serviceId: ServiceId,
        id: RequestId,
    ): Either<ApiError, ServiceAnswer> =
        either {
            parts.configuration.checkFreshness().mapLeft(::apiErrorOf).bind()
            val service = parts.configuration.configuration.value.services[serviceId]
            ensure(service != null) { createServiceNotFoundError(serviceId) }
            val caller = if (service.openToAll) null else parts.admission.authenticate(call).bind()
            val request = readRequest(call, serviceId, id).bind()
            val work = Work.ServiceCall(
                caller?.organisation?.id,
                serviceId,
                isRepeatable(service, request.method, request.path),
            )
            val charge = caller?.let {
                parts.limiter.charge(it.organisation.id, TokenCount(service.tokensPerCall)).mapLeft(::apiErrorOf).bind()
            }
            val key = call.request.headers[IDEMPOTENCY_KEY_HEADER]?.let(::IdempotencyKey)
            val outcome = parts.execution.run(work, request, key)
            val executed = outcome.isRight { it.executed }
            charge?.settle(TokenCount(if (executed) service.tokensPerCall else 0))
            if (executed) parts.usage.count(caller?.organisation?.id, 0, 0)
            outcome.mapLeft(::apiErrorOf).bind().answer
        }

    private suspend fun readRequest(
        call: ApplicationCall,
        service: ServiceId,
        id: RequestId,
    ): Either<ApiError, ServiceRequest> = parts.admission.readBody(call).map { body ->
        val path = call.request.path().removePrefix("/services/${service.value}").ifEmpty { "/" }
        val query = call.request.queryString().let { if (it.isEmpty()) "" else "?$it" }
        val headers = call.request.headers.entries()
            .filter { (name, _) -> name.lowercase() !in EXCLUDED_REQUEST_HEADERS }
            .flatMap { (name, values) -> values.map { Header(name, it) } }
        ServiceRequest(id, call.request.httpMethod.value, path + query, headers, body)
    }

    private suspend fun respond(call: ApplicationCall, answer: ServiceAnswer) {
        val contentType = answer.headers.find { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        answer.headers.filter { it.name.lowercase() !in EXCLUDED_ANSWER_HEADERS }
            .forEach { call.response.header(it.name, it.value) }
        val type = contentType?.let { ContentType.parse(it.value) }
        call.respondBytes(answer.body, type, HttpStatusCode.fromValue(answer.status))
    }

    private fun createServiceNotFoundError(service: ServiceId) =
        ApiError(HttpStatusCode.NotFound, "service_not_found", "the service '$service' does not exist")

    private companion object {
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

        /**
         * Request headers that are not forwarded: the caller's credentials, headers of the connection and headers that
         * this instance sets itself.
         */
        val EXCLUDED_REQUEST_HEADERS = setOf(
            "authorization",
            "host",
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "te",
            "trailer",
            "proxy-authorization",
            "expect",
            "x-request-id",
            "traceparent",
            "tracestate",
        )

        /** Answer headers that are not returned: headers of the connection and those that this instance sets. */
        val EXCLUDED_ANSWER_HEADERS = setOf(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "content-type",
            "x-request-id",
            "upgrade",
            "trailer",
        )
    }
}
