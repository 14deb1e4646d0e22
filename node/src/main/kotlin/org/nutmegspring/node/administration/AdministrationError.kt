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

/** An error of the administration API with its HTTP status. */
data class AdministrationError(
    val status: HttpStatusCode,
    val detail: AdministrationErrorDetail,
    val retryAfter: Duration? = null,
)

internal fun administrationError(status: HttpStatusCode, code: String, message: String): AdministrationError =
    AdministrationError(status, AdministrationErrorDetail(code, message))

internal fun notFound(part: ConfigurationPart): AdministrationError = AdministrationError(
    HttpStatusCode.NotFound,
    AdministrationErrorDetail("not_found", "${part.path} does not exist", part = part.path),
)

internal fun invalidPart(part: ConfigurationPart, problems: List<PartProblem>): AdministrationError =
    AdministrationError(
        HttpStatusCode.UnprocessableEntity,
        AdministrationErrorDetail(
            code = "invalid",
            message = "${part.path} is not valid",
            part = part.path,
            problems = problems.map { FieldProblem(it.field, it.message) },
        ),
    )

/** Returns the error that tells an operator of [failure]. */
internal fun administrationErrorOf(failure: CommitFailure): AdministrationError = when (failure) {
    is CommitFailure.Rejected -> rejectionError(failure.rejection)
    is CommitFailure.Failed -> storeError(failure.failure)
}

private fun rejectionError(rejection: ProposalRejection): AdministrationError = when (rejection) {
    is ProposalRejection.Conflict -> conflictError(rejection)

    is ProposalRejection.MissingReference -> AdministrationError(
        HttpStatusCode.UnprocessableEntity,
        AdministrationErrorDetail(
            "missing_reference",
            "${rejection.part.path} refers to ${rejection.missing.path}, which does not exist",
            part = rejection.part.path,
        ),
    )

    ProposalRejection.Unchanged -> administrationError(HttpStatusCode.Conflict, "unchanged", "nothing would change")
}

private fun conflictError(conflict: ProposalRejection.Conflict): AdministrationError {
    val current = conflict.current
    val message = if (current == null) {
        "${conflict.part.path} does not exist any more"
    } else {
        "${conflict.part.path} was changed at revision ${current.lastChange.revision} by ${current.lastChange.operator}"
    }
    return AdministrationError(
        HttpStatusCode.Conflict,
        AdministrationErrorDetail("conflict", message, part = conflict.part.path, current = current?.let(::answerOf)),
    )
}

private fun storeError(failure: Failure): AdministrationError = when (failure.effect) {
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

internal fun sheetError(problems: List<SheetProblem>): AdministrationError = AdministrationError(
    HttpStatusCode.UnprocessableEntity,
    AdministrationErrorDetail(
        code = "invalid_sheet",
        message = "the sheet is refused whole: ${problems.size} problems",
        problems = problems.map { FieldProblem(it.column, it.message, it.line) },
    ),
)
