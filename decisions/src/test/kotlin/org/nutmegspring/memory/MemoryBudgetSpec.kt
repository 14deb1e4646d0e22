package org.nutmegspring.memory

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MemoryBudgetSpec {
    private val start = MonotonicTime(0)
    private val budget = MemoryBudget(MemoryBounds(4_000_000, maximumConnections = 100))

    private fun open(use: MemoryUse? = null, bytes: Long = 0) = budget.open(start).also {
        if (use !=
            null
        ) {
            it[use] = bytes
        }
    }

    /** Opens connections that use up all but the reserve. */
    private fun fill(use: MemoryUse = MemoryUse.INCOMING) = List(3) { open(use, 1_000_000) }

    @Nested
    inner class `given a budget of which all but the reserve is used` {
        // Guards against ordinary callers that are not served beside callers outside the limits.
        @Test
        fun `a connection that holds little is read while the reserve lasts`() {
            fill()
            val ordinary = open(MemoryUse.INCOMING, 10_000)
            assertTrue(budget.mayRead(ordinary, start))
            open(MemoryUse.RUNNING, 1_000_000)
            assertFalse(budget.mayRead(ordinary, start))
        }

        @Test
        fun `a connection that holds much is paused, and resumed when there is room`() {
            val held = fill()
            assertFalse(budget.mayRead(held[0], start))
            assertEquals(emptyList(), budget.review(start + 10.milliseconds))
            budget.close(held[1])
            assertEquals(listOf(held[0] to MemoryAction.RESUME), budget.review(start + 20.milliseconds))
            assertTrue(budget.mayRead(held[0], start))
        }

        // Guards against a process that nobody can use because bodies that never end hold its memory.
        @Test
        fun `the request that holds most and moves least is refused after a while`() {
            val held = fill()
            budget.mayRead(held[0], start)
            assertEquals(emptyList(), budget.review(start))
            held[0].recordMoved(100_000, start + 1.seconds)
            held[2].recordMoved(50_000, start + 1.seconds)
            assertEquals(listOf(held[1] to MemoryAction.REFUSE), budget.review(start + 1.seconds))
        }

        // Guards against REFUSED: a 503 promises that the request was not run.
        @Test
        fun `a request that runs is not refused, and a connection that does not read is closed`() {
            val running = fill(MemoryUse.RUNNING)
            running.forEach { budget.mayRead(it, start) }
            assertEquals(emptyList(), budget.review(start + 1.seconds))
            running[1][MemoryUse.UNWRITTEN] = 100_000
            budget.review(start + 2.seconds)
            assertEquals(listOf(running[1] to MemoryAction.CLOSE), budget.review(start + 3.seconds))
        }
    }

    @Nested
    inner class `given an idle process` {
        // Guards against a default that the largest legal request exceeds.
        @Test
        fun `one request may need more than the part that is not reserved`() {
            val large = open(MemoryUse.INCOMING, 3_900_000)
            open()
            assertTrue(budget.mayRead(large, start))
        }
    }

    @Nested
    inner class `given as many connections as are allowed` {
        private val connections = List(100) { open().also { account -> account.hasCompleted = true } }

        @Test
        fun `the one that never sent a request is closed for a new one before one that did`() {
            connections.forEach { it.recordMoved(1, start + 1.seconds) }
            connections[7].hasCompleted = false
            assertSame(connections[7], budget.selectForNew(open()))
        }

        @Test
        fun `the one that moved the longest ago is closed, but none with a request that runs`() {
            connections.drop(2).forEach { it.recordMoved(1, start + 1.seconds) }
            connections[0][MemoryUse.RUNNING] = 1_000
            assertSame(connections[1], budget.selectForNew(open()))
        }

        @Test
        fun `nothing is charged once all are closed`() {
            connections.forEach { it[MemoryUse.QUEUED] = 1_000 }
            connections.forEach(budget::close)
            assertEquals(0, budget.heldBytes)
            assertNull(budget.selectForNew(open()))
        }
    }
}
