package org.nutmegspring.gateway.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerTimeSpec {
    // Guards against LOST: an answer was cut off before its caller's time was over when the event loop had been late.
    @Test
    fun `a late event loop does not shorten the time until the answer is cut off`() {
        val time = CallerTime.compute(3.seconds, sinceHead = 400.milliseconds, readDelay = 300.milliseconds)
        assertEquals(2_600.milliseconds, time.untilCut)
        assertEquals(300.milliseconds, time.readDelay)
    }

    @Test
    fun `a caller that may have left has no time`() {
        val time = CallerTime.compute(600.milliseconds, sinceHead = 400.milliseconds, readDelay = 300.milliseconds)
        assertEquals(Duration.ZERO, time.untilCut)
    }
}
