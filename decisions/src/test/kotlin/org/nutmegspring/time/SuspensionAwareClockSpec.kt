package org.nutmegspring.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionAwareClockSpec {
    private var monotonic = MonotonicTime.ZERO
    private var wallClock = 1_000_000L
    private val clock = SuspensionAwareClock({ monotonic }, { wallClock })

    private fun advance(milliseconds: Long) {
        monotonic += milliseconds.milliseconds
        wallClock += milliseconds
    }

    @Nested
    inner class `while the machine runs` {
        @Test
        fun `advances with the monotonic clock, however often it is read`() {
            val start = clock.now()
            repeat(10_000) {
                monotonic += 100_000.milliseconds / 1_000_000
                wallClock = 1_000_000L + (monotonic - MonotonicTime.ZERO).inWholeMilliseconds
                clock.now()
            }
            assertEquals(1.seconds, clock.now() - start)
        }

        @Test
        fun `a backward step of the wall clock has no effect`() {
            val start = clock.now()
            wallClock -= 5_000
            advance(1_000)
            assertEquals(1.seconds, clock.now() - start)
        }
    }

    @Nested
    inner class `after a suspension` {
        @Test
        fun `time during which the monotonic clock stopped is counted`() {
            val start = clock.now()
            wallClock += 4_000
            advance(10)
            assertEquals(4.seconds + 10.milliseconds, clock.now() - start)
        }

        @Test
        fun `a later backward step of the wall clock does not subtract it`() {
            val start = clock.now()
            wallClock += 4_000
            clock.now()
            wallClock -= 4_000
            advance(10)
            assertTrue(clock.now() - start >= 4.seconds)
        }
    }
}
