package org.nutmegspring.node.entry

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Step
import kotlin.time.Duration

/**
 * An error as callers see it.
 *
 * @property code a stable name of the error
 * @property effect whether the request can have run
 * @property instances addresses of instances to which the caller should go instead
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

/** The body of an error in the usual form. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * The fields of an error in the usual form.
 *
 * @property outcome `not_run` or `unknown`
 * @property instances addresses to use instead
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

/** Returns the body that callers see for this error. */
fun ApiError.body(): ErrorBody {
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

/** Returns the error for a request that is not valid. */
fun invalidRequest(message: String, parameter: String? = null): ApiError =
    ApiError(HttpStatusCode.BadRequest, "invalid_request", message, parameter = parameter)

/** Returns the error that tells a caller of [failure]. */
fun apiErrorOf(failure: Failure): ApiError {
    val status = statusOf(failure)
    val code = when (failure.step) {
        Step.READ_REQUEST -> "invalid_request"
        Step.AUTHENTICATE -> "invalid_api_key"
        Step.CHARGE -> if (failure.retryAfter == null) "exceeds_burst" else "rate_limit_exceeded"
        Step.CONFIGURE -> "instance_not_current"
        Step.CHOOSE_ENDPOINT -> "no_capacity"
        Step.CLAIM -> claimCodeOf(failure)
        else -> if (failure.effect == Effect.NOT_RUN) "endpoint_unavailable" else "outcome_unknown"
    }
    return ApiError(status, code, failure.message, failure.effect, retryAfter = failure.retryAfter)
}

private fun claimCodeOf(failure: Failure): String {
    val mayRetry = failure.retryAfter != null
    return when (failure.effect) {
        Effect.NOT_RUN -> if (mayRetry) "claim_unavailable" else "idempotency_key_rejected"
        Effect.UNKNOWN -> "outcome_unknown"
    }
}

private fun claimStatusOf(failure: Failure): HttpStatusCode = when {
    failure.effect == Effect.UNKNOWN -> HttpStatusCode.Conflict
    failure.retryAfter != null -> HttpStatusCode.ServiceUnavailable
    else -> HttpStatusCode.UnprocessableEntity
}

private fun statusOf(failure: Failure): HttpStatusCode = when (failure.step) {
    Step.READ_REQUEST -> HttpStatusCode.BadRequest
    Step.AUTHENTICATE -> HttpStatusCode.Unauthorized
    Step.CHARGE -> if (failure.retryAfter == null) HttpStatusCode.BadRequest else HttpStatusCode.TooManyRequests
    Step.CONFIGURE, Step.CHOOSE_ENDPOINT -> HttpStatusCode.ServiceUnavailable
    Step.CLAIM -> claimStatusOf(failure)
    else -> if (failure.effect == Effect.NOT_RUN) HttpStatusCode.ServiceUnavailable else HttpStatusCode.BadGateway
}
