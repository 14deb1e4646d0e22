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

/** A caller whose key is valid. */
data class Caller(
    val key: ApiKey,
    val organisation: Organisation,
)

/** Reads requests within their limits and finds out on whose behalf they come. */
class Admission(
    private val configuration: ConfigurationView,
    private val settings: CallerSettings,
) {
    /** Returns the caller of [call], or the error when its key or this instance's configuration does not admit it. */
    fun caller(call: ApplicationCall): Either<ApiError, Caller> = either {
        configuration.checkFreshness().mapLeft(::apiErrorOf).bind()
        val secret = bearer(call)
        ensure(secret != null) { unauthorised("no API key was given") }
        val key = configuration.authenticate(secret).mapLeft(::apiErrorOf).bind()
        val organisation = configuration.configuration.value.organisations[key.organisation]
        ensure(organisation != null) { unauthorised("the API key is not valid") }
        Caller(key, organisation)
    }

    /** Reads the whole body of [call]. */
    suspend fun body(call: ApplicationCall): Either<ApiError, ByteArray> = either {
        val declared = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull() ?: 0
        ensure(declared <= settings.maximumBodyBytes) { tooLarge() }
        val body = withTimeoutOrNull(settings.requestTimeoutSeconds.seconds) {
            call.receiveChannel().readRemaining(settings.maximumBodyBytes + 1).readByteArray()
        }
        ensure(body != null) { timedOut() }
        ensure(body.size <= settings.maximumBodyBytes) { tooLarge() }
        body
    }

    private fun bearer(call: ApplicationCall): String? {
        val header = call.request.header(HttpHeaders.Authorization) ?: return null
        return header.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
    }

    private fun unauthorised(message: String) = ApiError(HttpStatusCode.Unauthorized, "invalid_api_key", message)

    private fun tooLarge() = ApiError(
        HttpStatusCode.PayloadTooLarge,
        "body_too_large",
        "the body is larger than ${settings.maximumBodyBytes} bytes",
    )

    private fun timedOut() = ApiError(
        HttpStatusCode.RequestTimeout,
        "request_timeout",
        "the request did not arrive within ${settings.requestTimeoutSeconds} s",
    )

    private companion object {
        const val SCHEME = "Bearer "
    }
}
