package org.nutmegspring.admission

import org.junit.jupiter.api.Nested
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FirstOutputLimitSpec {
    private val objective = 500.milliseconds
    private val patience = 2.seconds

    /**
     * Replays ten seconds of prompts at one engine that reads them in the order of arrival, 60 ms each, at [load] times
     * what it can read. Returns the worth of the answers: one in time counts 1, a late one [lateWorth].
     */
    private fun worth(load: Double, lateWorth: Double, sends: (Duration) -> Boolean): Double {
        val random = Random(3)
        var now = 0.0
        var busyUntil = 0.0
        var worth = 0.0
        while (now < 10_000) {
            now += -ln(1 - random.nextDouble()) * 60 / load
            val wait = maxOf(0.0, busyUntil - now)
            val expected = wait + 60
            if (!sends(wait.milliseconds)) continue
            busyUntil = now + expected
            if (expected <= 500) {
                worth += 1.0
            } else if (expected <= 2_000) {
                worth += lateWorth
            }
        }
        return worth
    }

    private fun withLimit(wait: Duration) =
        FirstOutputLimit().decide(wait, wait + 60.milliseconds, objective, patience) is FirstOutputVerdict.Send

    @Nested
    inner class `under twice the load that the engine can read` {
        @Test
        fun `answers are worth more than half again what they are when everything is sent that callers wait for`() {
            val limited = worth(load = 2.0, lateWorth = 0.3, sends = ::withLimit)
            val unlimited = worth(load = 2.0, lateWorth = 0.3) { it + 60.milliseconds <= patience }
            assertTrue(limited > 1.5 * unlimited, "limited $limited, unlimited $unlimited")
        }
    }

    @Nested
    inner class `under half the load` {
        @Test
        fun `nothing is lost`() {
            val limited = worth(load = 0.5, lateWorth = 0.3, sends = ::withLimit)
            val unlimited = worth(load = 0.5, lateWorth = 0.3) { it + 60.milliseconds <= patience }
            assertTrue(limited >= 0.99 * unlimited, "limited $limited, unlimited $unlimited")
        }
    }

    @Nested
    inner class `given a prompt that takes longer to read than the objective` {
        @Test
        fun `it is sent when it need not wait`() {
            val verdict = FirstOutputLimit().decide(Duration.ZERO, 1500.milliseconds, objective, patience)
            assertEquals(FirstOutputVerdict.Send, verdict)
        }
    }

    @Nested
    inner class `when a request is refused` {
        @Test
        fun `it is told to come back when the queue will have gone down`() {
            val verdict = FirstOutputLimit(share = 0.5).decide(400.milliseconds, 460.milliseconds, objective, patience)
            assertEquals(150.milliseconds, assertIs<FirstOutputVerdict.Refuse>(verdict).comeBackAfter)
        }

        @Test
        fun `a caller that leaves sooner bounds the wait`() {
            val verdict = FirstOutputLimit().decide(Duration.ZERO, 550.milliseconds, objective, 300.milliseconds)
            assertEquals(250.milliseconds, assertIs<FirstOutputVerdict.Refuse>(verdict).comeBackAfter)
        }
    }
}
