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
import org.nutmegspring.node.administration.sheet.computeSheetChange
import org.nutmegspring.node.administration.sheet.parseSheet
import org.nutmegspring.node.configuration.CommitFailure
import org.nutmegspring.node.configuration.ConfigurationRuntime
import org.nutmegspring.node.configuration.RevisionStatus
import org.nutmegspring.node.configuration.generateKeySecret
import org.nutmegspring.node.configuration.hashSecret
import java.util.UUID

private val audit = KotlinLogging.logger("org.nutmegspring.audit")

/** Reads and changes the configuration on behalf of operators. Every attempted change is written to the audit log. */
internal class ConfigurationAdministration(private val runtime: ConfigurationRuntime) {
    /** Returns the parts whose values match [predicate], sorted by path. */
    fun list(predicate: (PartValue) -> Boolean): PartListAnswer {
        val state = runtime.state
        val records = state.records.values.filter { predicate(it.value) }.sortedBy { it.value.part.path }
        return PartListAnswer(state.revision, records.map(::createPartAnswer))
    }

    /** Returns [part], or an error if it does not exist. */
    fun findPart(part: ConfigurationPart): Either<AdministrationError, PartAnswer> =
        runtime.state.records[part]?.let { createPartAnswer(it).right() } ?: createNotFoundError(part).left()

    /** Creates or replaces a part if [precondition] holds. */
    suspend fun put(
        operator: OperatorName,
        value: PartValue,
        precondition: Precondition,
    ): Either<AdministrationError, RevisionAnswer> = either {
        val problems = findProblems(value)
        ensure(problems.isEmpty()) { createInvalidPartError(value.part, problems) }
        commit(operator, "put", listOf(ProposedEdit(ConfigurationEdit.Put(value), precondition))).bind()
    }

    /** Removes [part] if it exists and [precondition] holds. */
    suspend fun remove(
        operator: OperatorName,
        part: ConfigurationPart,
        precondition: Precondition,
    ): Either<AdministrationError, RevisionAnswer> = either {
        ensure(part in runtime.state.records) { createNotFoundError(part) }
        commit(operator, "remove", listOf(ProposedEdit(ConfigurationEdit.Remove(part), precondition))).bind()
    }

    /** Grants a new key with a random id and secret. */
    suspend fun grantKey(
        operator: OperatorName,
        request: KeyGrantRequest,
    ): Either<AdministrationError, KeyGrantAnswer> = either {
        val secret = generateKeySecret()
        val id = KeyId(UUID.randomUUID().toString())
        val key = ApiKey(id, request.organisation, hashSecret(secret), request.expiresAtEpochSeconds)
        val edit = ProposedEdit(ConfigurationEdit.Put(PartValue.KeyValue(key)), Precondition.Absent)
        val answer = commit(operator, "grant", listOf(edit)).bind()
        KeyGrantAnswer(describe(key), secret, answer)
    }

    /** Returns the propagation status of [revision]. */
    suspend fun queryStatus(revision: Revision): RevisionAnswer = createRevisionAnswer(runtime.queryStatus(revision))

    /** Applies the sheet [text] as a single change, or with [dryRun] only returns the differences it would make. */
    suspend fun applySheet(
        operator: OperatorName,
        text: String,
        dryRun: Boolean,
    ): Either<AdministrationError, SheetAnswer> = either {
        val change = computeSheetChange(runtime.state, parseSheet(text)).mapLeft(::createSheetError).bind()
        if (dryRun || change.edits.isEmpty()) return@either SheetAnswer(change.differences)
        SheetAnswer(change.differences, commit(operator, "sheet", change.edits).bind())
    }

    private suspend fun commit(
        operator: OperatorName,
        action: String,
        edits: List<ProposedEdit>,
    ): Either<AdministrationError, RevisionAnswer> {
        val result = runtime.commit(ChangeProposal(operator, edits))
        writeAuditLine(operator, action, edits, result)
        return result.fold(
            { failure ->
                val unchanged = failure is CommitFailure.Rejected && failure.rejection == ProposalRejection.Unchanged
                if (unchanged) queryStatus(runtime.state.revision).right() else createCommitError(failure).left()
            },
            { createRevisionAnswer(it).right() },
        )
    }

    private fun writeAuditLine(
        operator: OperatorName,
        action: String,
        edits: List<ProposedEdit>,
        result: Either<CommitFailure, RevisionStatus>,
    ) = audit.atInfo {
        message = "configuration change"
        val parts = edits.take(MAXIMUM_AUDITED_PARTS).joinToString(" ") { it.edit.part.path }
        val fields = mapOf("operator" to operator.value, "action" to action, "count" to edits.size, "parts" to parts)
        payload = fields + result.fold(
            { mapOf("outcome" to createCommitError(it).detail.code) },
            { mapOf("outcome" to "changed", "revision" to it.revision.value, "accepted" to it.accepted) },
        )
    }

    private companion object {
        const val MAXIMUM_AUDITED_PARTS = 50
    }
}

private fun createRevisionAnswer(status: RevisionStatus) =
    RevisionAnswer(status.revision, status.accepted, status.inForce, status.lagging.sorted())
