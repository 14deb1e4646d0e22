package org.nutmegspring.node.administration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.ChangeProposal
import org.nutmegspring.configuration.ConfigurationEdit
import org.nutmegspring.configuration.ConfigurationPart
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Precondition
import org.nutmegspring.configuration.ProposalRejection
import org.nutmegspring.configuration.ProposedEdit
import org.nutmegspring.configuration.findProblems
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.administration.sheet.readSheet
import org.nutmegspring.node.administration.sheet.sheetChange
import org.nutmegspring.node.configuration.CommitFailure
import org.nutmegspring.node.configuration.ConfigurationRuntime
import org.nutmegspring.node.configuration.RevisionStatus
import org.nutmegspring.node.configuration.hashOf
import org.nutmegspring.node.configuration.newKeySecret
import java.util.UUID

private val audit = KotlinLogging.logger("org.nutmegspring.audit")

/** Changes the configuration on behalf of operators and writes a line of the audit log for each change. */
internal class ConfigurationAdministration(private val runtime: ConfigurationRuntime) {
    /** Returns the parts that [include] selects, in the order of their paths. */
    fun list(include: (PartValue) -> Boolean): PartListAnswer {
        val state = runtime.state
        val records = state.records.values.filter { include(it.value) }.sortedBy { it.value.part.path }
        return PartListAnswer(state.revision, records.map(::answerOf))
    }

    /** Returns [part]. */
    fun show(part: ConfigurationPart): Either<AdministrationError, PartAnswer> =
        runtime.state.records[part]?.let { answerOf(it).right() } ?: notFound(part).left()

    /** Creates or replaces a part. */
    suspend fun put(
        operator: OperatorName,
        value: PartValue,
        expectation: Precondition,
    ): Either<AdministrationError, RevisionAnswer> = either {
        val problems = findProblems(value)
        ensure(problems.isEmpty()) { invalidPart(value.part, problems) }
        change(operator, "put", listOf(ProposedEdit(ConfigurationEdit.Put(value), expectation))).bind()
    }

    /** Removes [part]. */
    suspend fun remove(
        operator: OperatorName,
        part: ConfigurationPart,
        expectation: Precondition,
    ): Either<AdministrationError, RevisionAnswer> = either {
        ensure(part in runtime.state.records) { notFound(part) }
        change(operator, "remove", listOf(ProposedEdit(ConfigurationEdit.Remove(part), expectation))).bind()
    }

    /** Grants a new key. */
    suspend fun grant(
        operator: OperatorName,
        request: KeyGrantRequest,
    ): Either<AdministrationError, KeyGrantAnswer> = either {
        val secret = newKeySecret()
        val id = KeyId(UUID.randomUUID().toString())
        val key = ApiKey(id, request.organisation, hashOf(secret), request.expiresAtEpochSeconds)
        val edit = ProposedEdit(ConfigurationEdit.Put(PartValue.KeyValue(key)), Precondition.Absent)
        val answer = change(operator, "grant", listOf(edit)).bind()
        KeyGrantAnswer(describe(key), secret, answer)
    }

    /** Returns how far [revision] has come. */
    suspend fun status(revision: Revision): RevisionAnswer = answerOf(runtime.status(revision))

    /** Applies the sheet [text] whole, or with [dryRun] only tells what it would change. */
    suspend fun sheet(
        operator: OperatorName,
        text: String,
        dryRun: Boolean,
    ): Either<AdministrationError, SheetAnswer> = either {
        val change = sheetChange(runtime.state, readSheet(text)).mapLeft(::sheetError).bind()
        if (dryRun || change.edits.isEmpty()) return@either SheetAnswer(change.differences)
        SheetAnswer(change.differences, change(operator, "sheet", change.edits).bind())
    }

    private suspend fun change(
        operator: OperatorName,
        action: String,
        edits: List<ProposedEdit>,
    ): Either<AdministrationError, RevisionAnswer> {
        val result = runtime.change(ChangeProposal(operator, edits))
        record(operator, action, edits, result)
        return result.fold(
            { failure ->
                val unchanged = failure is CommitFailure.Rejected && failure.rejection == ProposalRejection.Unchanged
                if (unchanged) status(runtime.state.revision).right() else administrationErrorOf(failure).left()
            },
            { answerOf(it).right() },
        )
    }

    private fun record(
        operator: OperatorName,
        action: String,
        edits: List<ProposedEdit>,
        result: Either<CommitFailure, RevisionStatus>,
    ) = audit.atInfo {
        message = "configuration change"
        val parts = edits.take(AUDITED_PARTS).joinToString(" ") { it.edit.part.path }
        val fields = mapOf("operator" to operator.value, "action" to action, "count" to edits.size, "parts" to parts)
        payload = fields + result.fold(
            { mapOf("outcome" to administrationErrorOf(it).detail.code) },
            { mapOf("outcome" to "changed", "revision" to it.revision.value, "accepted" to it.accepted) },
        )
    }

    private companion object {
        const val AUDITED_PARTS = 50
    }
}

private fun answerOf(status: RevisionStatus) =
    RevisionAnswer(status.revision, status.accepted, status.inForce, status.lagging.sorted())
