package org.nutmegspring.usage

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UsageLedgerSpec {
    private val ledger = UsageLedger(Incarnation(1), shards = 1)
    private val keeper = InstanceId("b")

    private fun count(window: Long) = ledger.count(UsageEntry(OrganisationId("tags"), 5, 5, 1), window)

    private fun batchesWithoutKeeper() = ledger.batchesWithoutKeeper(setOf(keeper), limit = 10)

    @Nested
    inner class `given counted usage` {
        @Test
        fun `seals a batch for each window`() {
            count(7)
            count(8)
            ledger.seal(8)
            assertEquals(listOf(7L, 8L), ledger.ownBatches(0, 8).map { it.window })
        }

        @Test
        fun `never reopens an earlier window`() {
            count(8)
            count(7)
            ledger.seal(8)
            assertEquals(listOf(8L), ledger.ownBatches(0, 8).map { it.window })
        }

        @Test
        fun `needs a new keeper when its keeper has left`() {
            count(7)
            ledger.seal(7)
            ledger.recordKeeper(batchesWithoutKeeper(), keeper)
            assertTrue(batchesWithoutKeeper().isEmpty())
            assertEquals(1, ledger.batchesWithoutKeeper(setOf(InstanceId("c")), limit = 10).size)
        }
    }

    @Nested
    inner class `given batches that are in a fixed window` {
        @Test
        fun `drops its own and reports the first number that is still open`() {
            repeat(3) {
                count(7)
                ledger.seal(7)
            }
            ledger.dropOwn(0, NumberRanges().with(listOf(1, 2)))
            assertEquals(3, ledger.settledBatches().single().firstOpen)
        }

        @Test
        fun `drops kept ones below the first open number of their source`() {
            val source = Incarnation(2)
            ledger.keep(List(3) { UsageBatch(source, 0, it + 1L, 7, emptyList()) })
            ledger.dropKept(SettledBatches(source, 0, firstOpen = 3))
            assertEquals(listOf(3L), ledger.keptBatches(0, 7, setOf(source)).map { it.number })
        }
    }
}
