package org.nutmegspring.admission

import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReturnScheduleSpec {
    private val schedule = ReturnSchedule()
    private val now = MonotonicTime.ZERO + 10.seconds

    private fun book(urgency: Int = 1, at: MonotonicTime = now) =
        schedule.book(urgency, 100.milliseconds, 30.milliseconds, at).inWholeMilliseconds

    /** Guards against callers that were refused together and return together. */
    @Test
    fun `callers return one after the other in the order in which they were refused`() {
        assertEquals(listOf(100L, 130L, 160L), List(3) { book() })
    }

    /** Guards against less urgent callers that take the turns of more urgent ones. */
    @Test
    fun `less urgent callers return after more urgent ones, which do not wait for them`() {
        book(urgency = 2)
        assertEquals(100L, book(urgency = 1))
        assertEquals(130L, book(urgency = 1))
        assertEquals(160L, book(urgency = 2))
        assertEquals(160L, book(urgency = 1))
    }

    /** Guards against callers that wait because of a burst that has passed. */
    @Test
    fun `after a pause a caller returns when the queues are short enough`() {
        repeat(5) { book() }
        assertEquals(100L, book(at = now + 1.seconds))
    }

    /** Guards against times that no caller waits for. */
    @Test
    fun `no caller is told more than two seconds for the others`() {
        assertEquals(2_000L, List(200) { book() }.max())
        assertEquals(5_000L, schedule.book(1, 5.seconds, 30.milliseconds, now).inWholeMilliseconds)
    }
}
