package org.nutmegspring.configuration

import arrow.core.left
import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.KeyHash
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ChangeProposalSpec {
    private val writer = WriteId(Incarnation(1), 1)
    private val organisation = Organisation(OrganisationId("brest"), "Brest", TokenRate(10, 100))
    private val key = ApiKey(KeyId("k1"), organisation.id, KeyHash("00"))
    private val putOrganisation = ConfigurationEdit.Put(PartValue.OrganisationValue(organisation))
    private val putKey = ConfigurationEdit.Put(PartValue.KeyValue(key))

    private fun proposal(vararg edits: ProposedEdit) = ChangeProposal(OperatorName("anne"), edits.toList())

    private fun plan(state: ChainState, vararg edits: ProposedEdit) = planChange(state, proposal(*edits), writer)

    private fun ChainState.with(vararg edits: ConfigurationEdit): ChainState {
        val proposed = edits.map { ProposedEdit(it, Precondition.Any) }.toTypedArray()
        return apply(plan(this, *proposed).getOrNull()!!)
    }

    @Nested
    inner class `a precondition` {
        private val state = ChainState.EMPTY.with(putOrganisation)

        @Test
        fun `that a part is absent conflicts with an existing part and reports its last change`() {
            val current = PartRecord(putOrganisation.value, LastChange(Revision(1), OperatorName("anne")))
            assertEquals(
                ProposalRejection.Conflict(putOrganisation.part, current).left(),
                plan(state, ProposedEdit(putOrganisation, Precondition.Absent)),
            )
        }

        @Test
        fun `on an outdated revision conflicts`() {
            val renamed = PartValue.OrganisationValue(organisation.copy(name = "Brest 2"))
            val newer = state.with(ConfigurationEdit.Put(renamed))
            val outdated = ProposedEdit(putOrganisation, Precondition.LastChangedAt(Revision(1)))
            assertTrue(plan(newer, outdated).leftOrNull() is ProposalRejection.Conflict)
        }

        @Test
        fun `holds when only other parts changed`() {
            val newer = state.with(putKey)
            val renamed = PartValue.OrganisationValue(organisation.copy(name = "Brest 2"))
            val edit = ProposedEdit(ConfigurationEdit.Put(renamed), Precondition.LastChangedAt(Revision(1)))
            assertEquals(Revision(3), plan(newer, edit).getOrNull()?.revision)
        }
    }

    @Nested
    inner class `a reference` {
        @Test
        fun `from a key to a missing organisation is rejected`() {
            val rejection = ProposalRejection.MissingReference(putKey.part, putOrganisation.part)
            assertEquals(rejection.left(), plan(ChainState.EMPTY, ProposedEdit(putKey, Precondition.Absent)))
        }

        @Test
        fun `is removed together with its organisation`() {
            val state = ChainState.EMPTY.with(putOrganisation).with(putKey)
            val after = state.with(ConfigurationEdit.Remove(putOrganisation.part))
            assertEquals(emptyMap(), after.configuration.keys)
            assertEquals(emptyMap(), after.records)
        }
    }

    @Nested
    inner class `a chain state` {
        private val state = ChainState.EMPTY.with(putOrganisation).with(putKey)

        @Test
        fun `is equal after it is restored from its shards`() {
            val contents = state.manifest.shards.keys.map { state.shardContent(it) }
            val read = ChainState.of(state.manifest, contents)
            assertEquals(state.configuration, read.configuration)
            assertEquals(state.records, read.records)
        }

        @Test
        fun `drops the old hash of a key that is replaced`() {
            val replaced = ConfigurationEdit.Put(PartValue.KeyValue(key.copy(hash = KeyHash("01"))))
            assertEquals(setOf(KeyHash("01")), state.with(replaced).configuration.keys.keys)
        }
    }
}
