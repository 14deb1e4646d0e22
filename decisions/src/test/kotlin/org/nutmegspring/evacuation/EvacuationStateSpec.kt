package org.nutmegspring.evacuation

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

// Guards against EVAC: requests to an evacuated data centre, and data centres that stay closed after a withdrawal.
class EvacuationStateSpec {
    private val rennes = DataCentreId("rennes")
    private val state = EvacuationState(retention = 5.seconds)
    private val kinds = mutableListOf<EvacuationChangeKind>()
    private val isPermitted get() = state.permits(rennes)

    private fun at(second: Int) = MonotonicTime.ZERO + second.seconds

    private fun agesAt(second: Int) = at(second).agesWithoutSuspension()

    private fun record(changes: List<EvacuationChange>) = kinds.addAll(changes.map { it.kind })

    private fun list(second: Int, era: Long, shown: Set<DataCentreId> = emptySet()) =
        record(state.applyListing(shown, StoreEra(era), at(second), agesAt(second)))

    @Nested
    inner class `while the store answers` {
        @Test
        fun `nothing is permitted before the first listing, and an evacuation lasts until its deletion`() {
            assertFalse(isPermitted)
            list(0, 1)
            assertTrue(isPermitted)
            record(state.applyCreation(rennes, at(1), agesAt(1)))
            assertEquals(listOf(false, true), listOf(isPermitted, state.permits(DataCentreId("quimper"))))
            record(state.applyDeletion(rennes, at(3), agesAt(3)))
            assertTrue(isPermitted)
            assertEquals(listOf(EvacuationChangeKind.BEGUN, EvacuationChangeKind.WITHDRAWN), kinds)
        }

        @Test
        fun `a deletion that a lost watch missed is known from the next listing`() {
            list(0, 1, setOf(rennes))
            list(1, 1)
            assertTrue(isPermitted)
        }
    }

    @Nested
    inner class `while the store is down or the instance is disconnected` {
        @Test
        fun `the known state stays in force, and its evidence ages`() {
            list(0, 1, setOf(rennes))
            assertFalse(isPermitted)
            assertEquals(listOf(Evacuation(rennes, EvacuationEvidence.SHOWN, 600.seconds)), state.inForce(agesAt(600)))
        }
    }

    @Nested
    inner class `after the store has returned from an older copy` {
        @Test
        fun `an evacuation stays until the new era has shown its absence for the bound, from each new era on`() {
            list(0, 1, setOf(rennes))
            list(10, 2)
            assertEquals(EvacuationEvidence.EARLIER_ERA, state.inForce(agesAt(10)).single().evidence)
            list(12, 3)
            record(state.confirm(at(16), agesAt(16)))
            assertFalse(isPermitted)
            assertEquals(16.seconds, state.evidenceAge(agesAt(32)))
            record(state.confirm(at(17), agesAt(17)))
            assertTrue(isPermitted)
            assertEquals(EvacuationChangeKind.EXPIRED, kinds.last())
        }

        @Test
        fun `one that is ordered again in the new era stays, and its deletion withdraws it at once`() {
            list(0, 1, setOf(rennes))
            list(10, 2)
            record(state.applyCreation(rennes, at(12), agesAt(12)))
            record(state.confirm(at(60), agesAt(60)))
            assertFalse(isPermitted)
            record(state.applyDeletion(rennes, at(61), agesAt(61)))
            assertTrue(isPermitted)
        }
    }
}
