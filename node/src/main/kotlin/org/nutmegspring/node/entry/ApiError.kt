package org.nutmegspring.node.entry

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Step
import kotlin.time.Duration

/**
 * An error that is returned to a caller.
 *
 * @property code the stable error code, independent of [message]
 * @property effect whether the request may have run
 * @property parameter the field of the request body that caused the error
 * @property retryAfter the delay after which the caller may retry
 * @property instances addresses of other instances to which the caller can send the request
 */
data class ApiError(
    val status: HttpStatusCode,
    val code: String,
    val message: String,
    val effect: Effect = Effect.NOT_RUN,
    val parameter: String? = null,
    val retryAfter: Duration? = null,
    val instances: List<String> = emptyList(),
)

/** The body of an error response in the OpenAI-compatible format. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * The error fields of the OpenAI-compatible format, extended by [outcome] and [instances].
 *
 * @property outcome `not_run` if the request certainly did not run, otherwise `unknown`
 * @property instances addresses of other instances to which the caller can send the request
 */
@Serializable
data class ErrorDetail(
    val message: String,
    val type: String,
    val code: String,
    @SerialName("param") val parameter: String?,
    val outcome: String,
    val instances: List<String>,
)

/** Returns the response body for this error. */
fun ApiError.toErrorBody(): ErrorBody {
    val type = when {
        status == HttpStatusCode.TooManyRequests -> "rate_limit_error"
        status == HttpStatusCode.Unauthorized -> "authentication_error"
        status.value < HttpStatusCode.InternalServerError.value -> "invalid_request_error"
        else -> "server_error"
    }
    val outcome = when (effect) {
        Effect.NOT_RUN -> "not_run"
        Effect.UNKNOWN -> "unknown"
    }
    return ErrorBody(ErrorDetail(message, type, code, parameter, outcome, instances))
}

/** Returns the error for an invalid request; [parameter] is the invalid field of the request body. */
fun createInvalidRequestError(message: String, parameter: String? = null): ApiError =
    ApiError(HttpStatusCode.BadRequest, "invalid_request", message, parameter = parameter)

/** Maps [failure] to the error that is returned to the caller. */
fun apiErrorOf(failure: Failure): ApiError {
    val status = determineStatus(failure)
    val code = when (failure.step) {
        Step.READ_REQUEST -> "invalid_request"
        Step.AUTHENTICATE -> "invalid_api_key"
        Step.CHARGE -> if (failure.retryAfter == null) "exceeds_burst" else "rate_limit_exceeded"
        Step.CONFIGURE -> "instance_not_current"
        Step.CHOOSE_ENDPOINT -> "no_capacity"
        Step.CLAIM -> determineClaimCode(failure)
        else -> if (failure.effect == Effect.NOT_RUN) "endpoint_unavailable" else "outcome_unknown"
    }
    return ApiError(status, code, failure.message, failure.effect, retryAfter = failure.retryAfter)
}

private fun determineClaimCode(failure: Failure): String {
    val canRetry = failure.retryAfter != null
    return when (failure.effect) {
        Effect.NOT_RUN -> if (canRetry) "claim_unavailable" else "idempotency_key_rejected"
        Effect.UNKNOWN -> "outcome_unknown"
    }
}

private fun determineClaimStatus(failure: Failure): HttpStatusCode = when {
    failure.effect == Effect.UNKNOWN -> HttpStatusCode.Conflict
    failure.retryAfter != null -> HttpStatusCode.ServiceUnavailable
    else -> HttpStatusCode.UnprocessableEntity
}

private fun determineStatus(failure: Failure): HttpStatusCode = when (failure.step) {
    Step.READ_REQUEST -> HttpStatusCode.BadRequest
    Step.AUTHENTICATE -> HttpStatusCode.Unauthorized
    Step.CHARGE -> if (failure.retryAfter == null) HttpStatusCode.BadRequest else HttpStatusCode.TooManyRequests
    Step.CONFIGURE, Step.CHOOSE_ENDPOINT -> HttpStatusCode.ServiceUnavailable
    Step.CLAIM -> determineClaimStatus(failure)
    else -> if (failure.effect == Effect.NOT_RUN) HttpStatusCode.ServiceUnavailable else HttpStatusCode.BadGateway
}
