package org.nutmegspring.usage

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WindowRulesSpec {
    private val rules = WindowRules(retention = 10)
    private val organisation = OrganisationId("tags")
    private val first = FixedWindow(0, 99, emptyList(), emptyList())

    private fun batch(number: Long, window: Long, tokens: Long = 5, source: Long = 1) =
        UsageBatch(Incarnation(source), 0, number, window, listOf(UsageEntry(organisation, tokens, tokens, 1)))

    @Nested
    inner class `given batches of a window` {
        @Test
        fun `sums them by organisation`() {
            val batches = listOf(batch(1, 100), batch(2, 100, tokens = 7), batch(1, 100, source = 2))
            val fixed = rules.nextWindow(first, batches)
            assertEquals(listOf(17L), fixed.figures.map { it.promptTokens })
        }

        @Test
        fun `counts a batch once when two instances report it`() {
            val fixed = rules.nextWindow(first, listOf(batch(1, 100), batch(1, 100)))
            assertEquals(listOf(5L), fixed.figures.map { it.promptTokens })
        }

        @Test
        fun `excludes batches of a later window`() {
            assertTrue(rules.nextWindow(first, listOf(batch(1, 101))).figures.isEmpty())
        }

        @Test
        fun `does not include them again in the next window`() {
            val fixed = rules.nextWindow(first, listOf(batch(1, 100)))
            assertTrue(rules.nextWindow(fixed, listOf(batch(1, 100))).figures.isEmpty())
        }
    }

    @Nested
    inner class `given a late batch` {
        @Test
        fun `marks its figures with their original window`() {
            val fixed = rules.nextWindow(first, listOf(batch(1, 98), batch(2, 100)))
            assertEquals(listOf(98L, null), fixed.figures.map { it.lateFromWindow })
        }

        @Test
        fun `excludes it after the retention`() {
            assertTrue(rules.nextWindow(first, listOf(batch(1, 89))).figures.isEmpty())
        }

        @Test
        fun `includes it although a later batch of the same source is already included`() {
            val fixed = rules.nextWindow(first, listOf(batch(2, 100)))
            assertEquals(1, rules.nextWindow(fixed, listOf(batch(1, 100), batch(2, 100))).figures.single().executions)
        }
    }
}
