package org.nutmegspring.node.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** The JSON format towards callers. */
internal val callerJson: Json = Json {
    explicitNulls = false
    encodeDefaults = true
}

private val errorJson: Json = Json { encodeDefaults = true }

/** Answers with [value]. */
suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(callerJson.encodeToString(serializer, value), ContentType.Application.Json, status)

/** Answers with [error]. */
suspend fun ApplicationCall.respondError(error: ApiError) {
    error.retryAfter?.let { response.header(HttpHeaders.RetryAfter, retryAfterSeconds(it)) }
    respondText(errorText(error), ContentType.Application.Json, error.status)
}

/** Returns the JSON text of [error]. */
internal fun errorText(error: ApiError): String = errorJson.encodeToString(ErrorBody.serializer(), error.body())

private fun retryAfterSeconds(duration: kotlin.time.Duration): Long =
    maxOf(1, (duration.inWholeMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND)

private const val MILLISECONDS_PER_SECOND = 1_000L
