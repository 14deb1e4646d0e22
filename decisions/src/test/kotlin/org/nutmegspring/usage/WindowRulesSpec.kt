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
            val fixed = rules.follow(first, listOf(batch(1, 100), batch(2, 100, tokens = 7), batch(1, 100, source = 2)))
            assertEquals(listOf(17L), fixed.figures.map { it.promptTokens })
        }

        @Test
        fun `counts a batch once that two instances hold`() {
            val fixed = rules.follow(first, listOf(batch(1, 100), batch(1, 100)))
            assertEquals(listOf(5L), fixed.figures.map { it.promptTokens })
        }

        @Test
        fun `leaves out those of a later window`() {
            assertTrue(rules.follow(first, listOf(batch(1, 101))).figures.isEmpty())
        }

        @Test
        fun `does not take them in again in the next window`() {
            val fixed = rules.follow(first, listOf(batch(1, 100)))
            assertTrue(rules.follow(fixed, listOf(batch(1, 100))).figures.isEmpty())
        }
    }

    @Nested
    inner class `given a late batch` {
        @Test
        fun `marks its figures with the window that they are late from`() {
            val fixed = rules.follow(first, listOf(batch(1, 98), batch(2, 100)))
            assertEquals(listOf(98L, null), fixed.figures.map { it.lateFromWindow })
        }

        @Test
        fun `leaves it out after the retention`() {
            assertTrue(rules.follow(first, listOf(batch(1, 89))).figures.isEmpty())
        }

        @Test
        fun `takes it in although a later one of its source was`() {
            val fixed = rules.follow(first, listOf(batch(2, 100)))
            assertEquals(1, rules.follow(fixed, listOf(batch(1, 100), batch(2, 100))).figures.single().executions)
        }
    }
}
