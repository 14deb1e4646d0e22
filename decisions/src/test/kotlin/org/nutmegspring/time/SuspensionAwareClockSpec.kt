package org.nutmegspring.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionAwareClockSpec {
    private var steady = MonotonicTime.ZERO
    private var day = 1_000_000L
    private val clock = SuspensionAwareClock({ steady }, { day })

    private fun pass(milliseconds: Long) {
        steady += milliseconds.milliseconds
        day += milliseconds
    }

    @Nested
    inner class `while the machine runs` {
        @Test
        fun `it advances like the steady clock, however often it is read`() {
            val began = clock.now()
            repeat(10_000) {
                steady += 100_000.milliseconds / 1_000_000
                day = 1_000_000L + (steady - MonotonicTime.ZERO).inWholeMilliseconds
                clock.now()
            }
            assertEquals(1.seconds, clock.now() - began)
        }

        @Test
        fun `a time of day that is set back changes nothing`() {
            val began = clock.now()
            day -= 5_000
            pass(1_000)
            assertEquals(1.seconds, clock.now() - began)
        }
    }

    @Nested
    inner class `after a suspension` {
        @Test
        fun `the time that the steady clock missed is counted`() {
            val began = clock.now()
            day += 4_000
            pass(10)
            assertEquals(4.seconds + 10.milliseconds, clock.now() - began)
        }

        @Test
        fun `a later step back does not take it away`() {
            val began = clock.now()
            day += 4_000
            clock.now()
            day -= 4_000
            pass(10)
            assertTrue(clock.now() - began >= 4.seconds)
        }
    }
}
