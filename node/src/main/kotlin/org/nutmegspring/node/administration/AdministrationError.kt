package org.nutmegspring.node.administration

import io.ktor.http.HttpStatusCode
import org.nutmegspring.configuration.ConfigurationPart
import org.nutmegspring.configuration.PartProblem
import org.nutmegspring.configuration.ProposalRejection
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.administration.sheet.SheetProblem
import org.nutmegspring.node.configuration.CommitFailure
import kotlin.time.Duration

/** An error response of the administration API. [retryAfter] becomes the `Retry-After` header. */
data class AdministrationError(
    val status: HttpStatusCode,
    val detail: AdministrationErrorDetail,
    val retryAfter: Duration? = null,
)

internal fun createAdministrationError(status: HttpStatusCode, code: String, message: String): AdministrationError =
    AdministrationError(status, AdministrationErrorDetail(code, message))

internal fun createNotFoundError(part: ConfigurationPart): AdministrationError = AdministrationError(
    HttpStatusCode.NotFound,
    AdministrationErrorDetail("not_found", "${part.path} does not exist", part = part.path),
)

internal fun createInvalidPartError(part: ConfigurationPart, problems: List<PartProblem>): AdministrationError =
    AdministrationError(
        HttpStatusCode.UnprocessableEntity,
        AdministrationErrorDetail(
            code = "invalid",
            message = "${part.path} is not valid",
            part = part.path,
            problems = problems.map { FieldProblem(it.field, it.message) },
        ),
    )

/** Returns the error response for [failure]. */
internal fun createCommitError(failure: CommitFailure): AdministrationError = when (failure) {
    is CommitFailure.Rejected -> createRejectionError(failure.rejection)
    is CommitFailure.Failed -> createStoreError(failure.failure)
}

private fun createRejectionError(rejection: ProposalRejection): AdministrationError = when (rejection) {
    is ProposalRejection.Conflict -> createConflictError(rejection)

    is ProposalRejection.MissingReference -> AdministrationError(
        HttpStatusCode.UnprocessableEntity,
        AdministrationErrorDetail(
            "missing_reference",
            "${rejection.part.path} refers to ${rejection.missing.path}, which does not exist",
            part = rejection.part.path,
        ),
    )

    ProposalRejection.Unchanged -> createAdministrationError(HttpStatusCode.Conflict, "unchanged", "nothing to change")
}

private fun createConflictError(conflict: ProposalRejection.Conflict): AdministrationError {
    val current = conflict.current
    val message = if (current == null) {
        "${conflict.part.path} no longer exists"
    } else {
        "${conflict.part.path} was changed at revision ${current.lastChange.revision} by ${current.lastChange.operator}"
    }
    return AdministrationError(
        HttpStatusCode.Conflict,
        AdministrationErrorDetail(
            "conflict",
            message,
            part = conflict.part.path,
            current = current?.let(::createPartAnswer),
        ),
    )
}

private fun createStoreError(failure: Failure): AdministrationError = when (failure.effect) {
    Effect.NOT_RUN -> AdministrationError(
        HttpStatusCode.ServiceUnavailable,
        AdministrationErrorDetail("store_unavailable", failure.message),
        failure.retryAfter,
    )

    Effect.UNKNOWN -> AdministrationError(
        HttpStatusCode.GatewayTimeout,
        AdministrationErrorDetail("outcome_unknown", failure.message, outcome = "unknown"),
        failure.retryAfter,
    )
}

internal fun createSheetError(problems: List<SheetProblem>): AdministrationError = AdministrationError(
    HttpStatusCode.UnprocessableEntity,
    AdministrationErrorDetail(
        code = "invalid_sheet",
        message = "the sheet is refused as a whole, problems: ${problems.size}",
        problems = problems.map { FieldProblem(it.column, it.message, it.line) },
    ),
)
