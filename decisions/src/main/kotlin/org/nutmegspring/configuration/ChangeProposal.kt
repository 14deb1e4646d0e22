package org.nutmegspring.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import org.nutmegspring.identity.Revision

/** The precondition of an edit: the state of the part that the author of the edit had read. */
sealed interface Precondition {
    /** No precondition; the edit overwrites any state. */
    data object Any : Precondition

    /** The part must not exist. */
    data object Absent : Precondition

    /** The last change of the part must be at [revision]. */
    data class LastChangedAt(val revision: Revision) : Precondition
}

/** An edit and its precondition. */
data class ProposedEdit(
    val edit: ConfigurationEdit,
    val precondition: Precondition,
)

/** Edits that an operator proposes to apply atomically. */
data class ChangeProposal(
    val operator: OperatorName,
    val edits: List<ProposedEdit>,
)

/** The reason why a proposal is rejected. */
sealed interface ProposalRejection {
    /** The precondition on [part] does not hold. [current] is null if the part does not exist. */
    data class Conflict(val part: ConfigurationPart, val current: PartRecord?) : ProposalRejection

    /** [part] would refer to [missing], which does not exist. */
    data class MissingReference(val part: ConfigurationPart, val missing: ConfigurationPart) : ProposalRejection

    /** No edit would change anything. */
    data object Unchanged : ProposalRejection
}

/** Returns the change that applies [proposal] to [state], or the reason why it is rejected. */
fun planChange(
    state: ChainState,
    proposal: ChangeProposal,
    writer: WriteId,
): Either<ProposalRejection, ConfigurationChange> = either {
    proposal.edits.forEach { checkPrecondition(state, it).bind() }
    val edits = addKeyRemovals(state, proposal.edits.map { it.edit }).filter { hasEffect(state, it) }
    ensure(edits.isNotEmpty()) { ProposalRejection.Unchanged }
    checkReferences(state, edits).bind()
    ConfigurationChange(state.revision.next(), writer, proposal.operator, edits)
}

private fun checkPrecondition(state: ChainState, proposed: ProposedEdit): Either<ProposalRejection, Unit> {
    val current = state.records[proposed.edit.part]
    val holds = when (val precondition = proposed.precondition) {
        Precondition.Any -> true
        Precondition.Absent -> current == null
        is Precondition.LastChangedAt -> current?.lastChange?.revision == precondition.revision
    }
    return if (holds) Unit.right() else ProposalRejection.Conflict(proposed.edit.part, current).left()
}

private fun hasEffect(state: ChainState, edit: ConfigurationEdit): Boolean = when (edit) {
    is ConfigurationEdit.Put -> state.records[edit.part]?.value != edit.value
    is ConfigurationEdit.Remove -> edit.part in state.records
}

/** Returns [edits] plus the removal of all keys of the removed organisations. */
private fun addKeyRemovals(state: ChainState, edits: List<ConfigurationEdit>): List<ConfigurationEdit> {
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
