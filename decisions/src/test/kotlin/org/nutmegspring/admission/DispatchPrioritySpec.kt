package org.nutmegspring.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class DispatchPrioritySpec {
    /** Guards against a request that precedes one of a more urgent class, for each set of urgencies. */
    @Test
    fun `a less urgent request never goes before a more urgent one, whichever of them is late`() {
        for (set in 1 until 1024) {
            val urgencies = (0..9).filter { set shr it and 1 == 1 }
            val priority = DispatchPriority(urgencies)
            for ((urgent, less) in urgencies.zipWithNext()) {
                val last = maxOf(priority.find(urgent, true), priority.find(urgent, false))
                val first = minOf(priority.find(less, true), priority.find(less, false))
                assertTrue(last < first, "$urgent before $less of $urgencies")
            }
            assertTrue(urgencies.all { priority.find(it, true) in 0..9 })
        }
    }

    @Test
    fun `a late request goes behind those of its class that can be on time`() {
        for (urgencies in listOf(listOf(1), listOf(9), listOf(1, 2, 3), listOf(0, 4, 8), listOf(5, 6, 7, 8, 9))) {
            val priority = DispatchPriority(urgencies)
            urgencies.forEach { assertTrue(priority.find(it, true) > priority.find(it, false), "$it of $urgencies") }
        }
    }

    /** Guards against other priorities than those that operators set, where these leave room. */
    @Test
    fun `requests that can be on time keep their urgency where there is room`() {
        val priority = DispatchPriority(listOf(1, 3, 5))
        assertEquals(listOf(1, 3, 5), listOf(1, 3, 5).map { priority.find(it, false) })
        assertEquals(listOf(2, 4, 6), listOf(1, 3, 5).map { priority.find(it, true) })
    }

    /** Guards against an order that breaks urgencies where there are too many of them. */
    @Test
    fun `with more than five urgencies each is its own priority`() {
        val priority = DispatchPriority((0..9).toList())
        for (urgency in 0..9) {
            assertEquals(urgency, priority.find(urgency, true))
            assertEquals(urgency, priority.find(urgency, false))
        }
    }

    /** Guards against urgencies that the header cannot hold, and one that the configuration no longer names. */
    @Test
    fun `urgencies beyond the priorities are the nearest ones`() {
        assertEquals(9, DispatchPriority((0..9).toList()).find(12, false))
        assertEquals(0, DispatchPriority(listOf(-3)).find(-3, false))
        assertEquals(7, DispatchPriority(listOf(1)).find(7, true))
    }

    @Test
    fun `a request is late when its first output is expected after the objective`() {
        assertFalse(DispatchPriority.isLate(100.milliseconds, 300.milliseconds, 400.milliseconds))
        assertTrue(DispatchPriority.isLate(101.milliseconds, 300.milliseconds, 400.milliseconds))
    }
}
