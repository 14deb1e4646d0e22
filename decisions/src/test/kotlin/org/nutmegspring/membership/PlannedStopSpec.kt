package org.nutmegspring.membership

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against LOST: requests that were accepted during a planned stop were cut off at eight tenths of its time.
class PlannedStopSpec {
    private val startedAt = MonotonicTime.ZERO + 60.seconds

    private fun stop(time: Duration) = PlannedStop(startedAt, time)

    @Nested
    inner class `given a stop time of 8 s` {
        private val stop = stop(8.seconds)

        @Test
        fun `requests that still run are not ended before the last sixth`() {
            assertTrue(stop.isServing(isBusy = true, startedAt + 8.seconds * 5 / 6))
        }

        @Test
        fun `final answers are sent, and the process exits, before it is killed`() {
            assertTrue(stop.finalAnswersAt < stop.exitAt)
            assertTrue(stop.exitAt < startedAt + 8.seconds)
            assertFalse(stop.isServing(isBusy = true, stop.finalAnswersAt))
        }

        @Test
        fun `an idle instance stays while callers may still have its address`() {
            assertTrue(stop.isServing(isBusy = false, startedAt + 2.seconds))
            assertFalse(stop.isServing(isBusy = false, startedAt + 3.seconds))
        }

        @Test
        fun `a request is accepted only if its deadline is not after the final answers`() {
            assertTrue(stop.canAnswerBy(startedAt + 2.seconds + 5.seconds))
            assertFalse(stop.canAnswerBy(startedAt + 3.seconds + 5.seconds))
            assertTrue(stop.canAnswerBy(startedAt + 6.seconds + 800.milliseconds))
        }
    }

    @Nested
    inner class `given a short stop time` {
        @Test
        fun `most of it is for the requests`() {
            for (time in listOf(400.milliseconds, 1.seconds, 2.seconds)) {
                val stop = stop(time)
                assertTrue(stop.finalAnswersAt >= startedAt + time * 3 / 4, "$time")
                assertTrue(stop.earliestEnd <= stop.finalAnswersAt, "$time")
                assertTrue(stop.exitAt < startedAt + time, "$time")
            }
        }
    }
}
