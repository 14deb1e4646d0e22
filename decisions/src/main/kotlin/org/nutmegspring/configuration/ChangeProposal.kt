package org.nutmegspring.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import org.nutmegspring.identity.Revision

/** What the author of a change read before. The change is valid only while it still holds. */
sealed interface Expectation {
    /** Anything; the change overwrites. */
    data object Any : Expectation

    /** The part did not exist. */
    data object Absent : Expectation

    /** The part was last changed at [revision]. */
    data class LastChangedAt(val revision: Revision) : Expectation
}

/** An edit with what its author read. */
data class ProposedEdit(
    val edit: ConfigurationEdit,
    val expectation: Expectation,
)

/** Edits that an operator wants applied together. */
data class ChangeProposal(
    val operator: OperatorName,
    val edits: List<ProposedEdit>,
)

/** Why a proposal is not applied. */
sealed interface ProposalRejection {
    /** The part [part] is not as the operator read it. [current] is null when it does not exist. */
    data class Conflict(val part: ConfigurationPart, val current: PartRecord?) : ProposalRejection

    /** The part [part] would refer to [missing], which does not exist. */
    data class MissingReference(val part: ConfigurationPart, val missing: ConfigurationPart) : ProposalRejection

    /** Nothing would change. */
    data object Unchanged : ProposalRejection
}

/** Returns the change that applies [proposal] on top of [state], or why it does not apply there. */
fun planChange(
    state: ChainState,
    proposal: ChangeProposal,
    writer: WriteId,
): Either<ProposalRejection, ConfigurationChange> = either {
    proposal.edits.forEach { checkExpectation(state, it).bind() }
    val edits = removeDependants(state, proposal.edits.map { it.edit }).filter { changes(state, it) }
    ensure(edits.isNotEmpty()) { ProposalRejection.Unchanged }
    checkReferences(state, edits).bind()
    ConfigurationChange(state.revision.next(), writer, proposal.operator, edits)
}

private fun checkExpectation(state: ChainState, proposed: ProposedEdit): Either<ProposalRejection, Unit> {
    val current = state.records[proposed.edit.part]
    val holds = when (val expectation = proposed.expectation) {
        Expectation.Any -> true
        Expectation.Absent -> current == null
        is Expectation.LastChangedAt -> current?.mark?.revision == expectation.revision
    }
    return if (holds) Unit.right() else ProposalRejection.Conflict(proposed.edit.part, current).left()
}

private fun changes(state: ChainState, edit: ConfigurationEdit): Boolean = when (edit) {
    is ConfigurationEdit.Put -> state.records[edit.part]?.value != edit.value
    is ConfigurationEdit.Remove -> edit.part in state.records
}

/** Adds the removal of the keys of removed organisations. */
private fun removeDependants(state: ChainState, edits: List<ConfigurationEdit>): List<ConfigurationEdit> {
    val removed = edits.filterIsInstance<ConfigurationEdit.Remove>().map { it.part }
        .filterIsInstance<ConfigurationPart.OrganisationPart>().map { it.id }.toSet()
    if (removed.isEmpty()) return edits
    val keys = state.configuration.keys.values.filter { it.organisation in removed }
    return edits + keys.map { ConfigurationEdit.Remove(ConfigurationPart.KeyPart(it.id)) }
}

private fun checkReferences(state: ChainState, edits: List<ConfigurationEdit>): Either<ProposalRejection, Unit> {
    val put = edits.filterIsInstance<ConfigurationEdit.Put>().map { it.part }.toSet()
    val removed = edits.filterIsInstance<ConfigurationEdit.Remove>().map { it.part }.toSet()
    edits.filterIsInstance<ConfigurationEdit.Put>().forEach { edit ->
        val key = (edit.value as? PartValue.KeyValue)?.key ?: return@forEach
        val owner = ConfigurationPart.OrganisationPart(key.organisation)
        val exists = owner in put || (owner in state.records && owner !in removed)
        if (!exists) return ProposalRejection.MissingReference(edit.part, owner).left()
    }
    return Unit.right()
}
