package org.nutmegspring.node.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** The JSON format of answers to callers. Null fields are omitted. */
internal val callerJson: Json = Json {
    explicitNulls = false
    encodeDefaults = true
}

/** The JSON format of errors. Null fields are written. */
private val errorJson: Json = Json { encodeDefaults = true }

/** Responds with [value] as JSON. */
suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(callerJson.encodeToString(serializer, value), ContentType.Application.Json, status)

/** Responds with [error] as JSON and sets the `Retry-After` header if the error has a retry delay. */
suspend fun ApplicationCall.respondError(error: ApiError) {
    error.retryAfter?.let { response.header(HttpHeaders.RetryAfter, roundUpToSeconds(it)) }
    respondText(encodeError(error), ContentType.Application.Json, error.status)
}

/** Returns [error] encoded as JSON. */
internal fun encodeError(error: ApiError): String =
    errorJson.encodeToString(ErrorBody.serializer(), error.toErrorBody())

private fun roundUpToSeconds(duration: kotlin.time.Duration): Long =
    maxOf(1, (duration.inWholeMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND)

private const val MILLISECONDS_PER_SECOND = 1_000L
