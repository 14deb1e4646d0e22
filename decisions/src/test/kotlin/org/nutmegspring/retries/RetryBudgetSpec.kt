package org.nutmegspring.retries

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryBudgetSpec {
    private val instances = 6
    private val budgets = List(instances) { RetryBudget(ratio = 0.2, extra = 52.0, window = 10.seconds) }

    /** Every request asks for a further sending, as when all endpoints of a service fail. */
    private fun furtherSendings(requestsPerSecond: Int, seconds: Int): List<MonotonicTime> {
        val sent = mutableListOf<MonotonicTime>()
        repeat(requestsPerSecond * seconds) { index ->
            val now = MonotonicTime.ZERO + (index * 1000L / requestsPerSecond).milliseconds
            val budget = budgets[index % instances]
            budget.requested(now)
            if (budget.take(now, instances)) sent += now
        }
        return sent
    }

    @Nested
    inner class `while every endpoint fails at all instances` {
        @Test
        fun `further sendings of all instances stay within the ratio and the extra in any window`() {
            val sent = furtherSendings(requestsPerSecond = 100, seconds = 40)
            sent.forEach { begin ->
                val inWindow = sent.count { it >= begin && it - begin < 10.seconds }
                assertTrue(inWindow <= 0.2 * 1000 + 52, "$inWindow sendings from $begin")
            }
        }

        @Test
        fun `more than half of the allowed ones are used`() {
            assertTrue(furtherSendings(requestsPerSecond = 100, seconds = 40).size > 0.5 * 0.2 * 4000)
        }
    }

    @Nested
    inner class `with few requests` {
        @Test
        fun `each instance keeps to its part of the extra`() {
            val sent = furtherSendings(requestsPerSecond = 6, seconds = 10)
            assertTrue(sent.size <= 52 + 0.2 * 60, "${sent.size}")
            assertTrue(sent.size >= instances, "${sent.size}")
        }
    }
}
