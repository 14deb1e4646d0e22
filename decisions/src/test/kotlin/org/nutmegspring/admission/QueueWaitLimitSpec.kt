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

class QueueWaitLimitSpec {
    private val objective = 500.milliseconds
    private val callerTimeout = 2.seconds

    /**
     * Simulates ten seconds of prompts at one engine that processes them in arrival order, 60 ms each, at [load] times
     * its capacity. Returns the total value of the responses: a response in time counts 1, a late one [lateValue].
     */
    private fun totalValue(load: Double, lateValue: Double, shouldSend: (Duration) -> Boolean): Double {
        val random = Random(3)
        var now = 0.0
        var busyUntil = 0.0
        var value = 0.0
        while (now < 10_000) {
            now += -ln(1 - random.nextDouble()) * 60 / load
            val wait = maxOf(0.0, busyUntil - now)
            val expected = wait + 60
            if (!shouldSend(wait.milliseconds)) continue
            busyUntil = now + expected
            if (expected <= 500) {
                value += 1.0
            } else if (expected <= 2_000) {
                value += lateValue
            }
        }
        return value
    }

    private fun isSentWithLimit(wait: Duration) =
        QueueWaitLimit().decide(wait, wait + 60.milliseconds, objective, callerTimeout) is QueueWaitDecision.Send

    @Nested
    inner class `given twice the load that the engine can process` {
        @Test
        fun `the total value is more than one and a half times that without the limit`() {
            val limited = totalValue(load = 2.0, lateValue = 0.3, shouldSend = ::isSentWithLimit)
            val unlimited = totalValue(load = 2.0, lateValue = 0.3) { it + 60.milliseconds <= callerTimeout }
            assertTrue(limited > 1.5 * unlimited, "limited $limited, unlimited $unlimited")
        }
    }

    @Nested
    inner class `given half the load that the engine can process` {
        @Test
        fun `the limit costs at most one percent of the total value`() {
            val limited = totalValue(load = 0.5, lateValue = 0.3, shouldSend = ::isSentWithLimit)
            val unlimited = totalValue(load = 0.5, lateValue = 0.3) { it + 60.milliseconds <= callerTimeout }
            assertTrue(limited >= 0.99 * unlimited, "limited $limited, unlimited $unlimited")
        }
    }

    @Nested
    inner class `given a prompt that takes longer to process than the objective` {
        @Test
        fun `it is sent if it does not have to wait`() {
            val decision = QueueWaitLimit().decide(Duration.ZERO, 1500.milliseconds, objective, callerTimeout)
            assertEquals(QueueWaitDecision.Send, decision)
        }
    }

    @Nested
    inner class `given a refused request` {
        @Test
        fun `the retry delay is the time until the queue is short enough`() {
            val decision = QueueWaitLimit(objectiveShare = 0.5)
                .decide(400.milliseconds, 460.milliseconds, objective, callerTimeout)
            assertEquals(150.milliseconds, assertIs<QueueWaitDecision.Refuse>(decision).retryAfter)
        }

        @Test
        fun `a caller timeout that ends before the first output also causes a refusal`() {
            val decision = QueueWaitLimit().decide(Duration.ZERO, 550.milliseconds, objective, 300.milliseconds)
            assertEquals(250.milliseconds, assertIs<QueueWaitDecision.Refuse>(decision).retryAfter)
        }
    }
}
