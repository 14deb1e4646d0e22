package org.nutmegspring.node.entry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.node.configuration.ConfigurationView
import org.nutmegspring.node.settings.CallerSettings
import kotlin.time.Duration.Companion.seconds

/** An authenticated caller: a valid API key and the organisation that it belongs to. */
data class Caller(
    val key: ApiKey,
    val organisation: Organisation,
)

/** Authenticates the callers of requests and reads request bodies within the configured size and time limits. */
class CallerAdmission(
    private val configuration: ConfigurationView,
    private val settings: CallerSettings,
) {
    /**
     * Returns the caller of [call], or an error if its API key is missing or invalid or this instance's configuration
     * is not known to be fresh.
     */
    fun authenticate(call: ApplicationCall): Either<ApiError, Caller> = either {
        configuration.checkFreshness().mapLeft(::apiErrorOf).bind()
        val secret = findBearerToken(call)
        ensure(secret != null) { createUnauthorizedError("no API key was given") }
        val key = configuration.authenticate(secret).mapLeft(::apiErrorOf).bind()
        val organisation = configuration.configuration.value.organisations[key.organisation]
        ensure(organisation != null) { createUnauthorizedError("the API key is not valid") }
        Caller(key, organisation)
    }

    /** Reads the complete body of [call], or returns an error if it exceeds the size or time limit. */
    suspend fun readBody(call: ApplicationCall): Either<ApiError, ByteArray> = either {
        val declaredBytes = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull() ?: 0
        ensure(declaredBytes <= settings.maximumBodyBytes) { createBodyTooLargeError() }
        val body = withTimeoutOrNull(settings.requestTimeoutSeconds.seconds) {
            call.receiveChannel().readRemaining(settings.maximumBodyBytes + 1).readByteArray()
        }
        ensure(body != null) { createTimeoutError() }
        ensure(body.size <= settings.maximumBodyBytes) { createBodyTooLargeError() }
        body
    }

    private fun findBearerToken(call: ApplicationCall): String? {
        val header = call.request.header(HttpHeaders.Authorization) ?: return null
        return header.takeIf { it.startsWith(BEARER, ignoreCase = true) }?.substring(BEARER.length)?.trim()
    }

    private fun createUnauthorizedError(message: String) =
        ApiError(HttpStatusCode.Unauthorized, "invalid_api_key", message)

    private fun createBodyTooLargeError() = ApiError(
        HttpStatusCode.PayloadTooLarge,
        "body_too_large",
        "the body is larger than ${settings.maximumBodyBytes} bytes",
    )

    private fun createTimeoutError() = ApiError(
        HttpStatusCode.RequestTimeout,
        "request_timeout",
        "the request did not arrive within ${settings.requestTimeoutSeconds} s",
    )

    private companion object {
        const val BEARER = "Bearer "
    }
}
