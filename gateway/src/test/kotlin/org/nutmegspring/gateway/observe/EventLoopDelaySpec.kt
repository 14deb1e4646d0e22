package org.nutmegspring.gateway.observe

import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class EventLoopDelaySpec {
    private val delay = EventLoopDelay()
    private val start = MonotonicTime.ZERO

    private fun at(milliseconds: Int) = start + milliseconds.milliseconds

    @Test
    fun `what is read while tasks run in time has not waited`() {
        delay.record(100.milliseconds, start, at(100))
        assertEquals(Duration.ZERO, delay.readDelay(at(150)))
    }

    @Test
    fun `what is read first after a stall may have waited as long as the task that is due`() {
        delay.record(100.milliseconds, start, at(100))
        assertEquals(1300.milliseconds, delay.readDelay(at(1500)))
    }

    @Test
    fun `what is read just after the task that was late may have waited as long as that`() {
        delay.record(100.milliseconds, start, at(900))
        assertEquals(800.milliseconds, delay.readDelay(at(910)))
    }
}
