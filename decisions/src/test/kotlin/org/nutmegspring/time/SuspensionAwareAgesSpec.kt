package org.nutmegspring.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionAwareAgesSpec {
    private var monotonic = MonotonicTime.ZERO
    private var wallClock = 1_000_000L
    private val ages = SuspensionAwareAges({ monotonic }, { wallClock })

    private fun advance(milliseconds: Long) {
        monotonic += milliseconds.milliseconds
        wallClock += milliseconds
    }

    @Nested
    inner class `while the machine runs` {
        @Test
        fun `an age grows with the monotonic clock, however often it is read`() {
            val start = monotonic
            repeat(10_000) {
                monotonic += 100_000.milliseconds / 1_000_000
                wallClock = 1_000_000L + (monotonic - MonotonicTime.ZERO).inWholeMilliseconds
                ages.ageOf(start)
            }
            assertEquals(1.seconds, ages.ageOf(start))
        }

        @Test
        fun `a backward step of the wall clock has no effect`() {
            val start = monotonic
            wallClock -= 5_000
            advance(1_000)
            assertEquals(1.seconds, ages.ageOf(start))
        }
    }

    @Nested
    inner class `after a suspension` {
        @Test
        fun `time during which the monotonic clock stopped is counted`() {
            val start = monotonic
            wallClock += 4_000
            advance(10)
            assertEquals(4.seconds + 10.milliseconds, ages.ageOf(start))
        }

        @Test
        fun `a later backward step of the wall clock does not subtract it`() {
            val start = monotonic
            wallClock += 4_000
            ages.ageOf(start)
            wallClock -= 4_000
            advance(10)
            assertTrue(ages.ageOf(start) >= 4.seconds)
        }

        @Test
        fun `it does not count for what began after it was noticed`() {
            wallClock += 4_000
            ages.ageOf(monotonic)
            advance(10)
            val start = monotonic
            advance(1_000)
            assertEquals(1.seconds, ages.ageOf(start))
        }

        @Test
        fun `each of many counts for what began before it`() {
            val start = monotonic
            repeat(200) {
                wallClock += 1_000
                advance(10)
                ages.ageOf(start)
            }
            assertEquals(202.seconds, ages.ageOf(start))
            advance(10)
            assertEquals(Duration.ZERO, ages.ageOf(monotonic))
        }
    }
}
