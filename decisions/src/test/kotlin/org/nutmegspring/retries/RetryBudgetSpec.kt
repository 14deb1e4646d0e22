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

    /** Attempts a retry of every request, as when all endpoints of a service fail, and returns the times of retries. */
    private fun simulateRetries(requestsPerSecond: Int, seconds: Int): List<MonotonicTime> {
        val retries = mutableListOf<MonotonicTime>()
        repeat(requestsPerSecond * seconds) { index ->
            val now = MonotonicTime.ZERO + (index * 1000L / requestsPerSecond).milliseconds
            val budget = budgets[index % instances]
            budget.recordRequest(now)
            if (budget.tryAcquire(now, instances)) retries += now
        }
        return retries
    }

    @Nested
    inner class `while every endpoint fails at all instances` {
        @Test
        fun `the retries of all instances stay within the ratio and the extra retries in any window`() {
            val retries = simulateRetries(requestsPerSecond = 100, seconds = 40)
            retries.forEach { begin ->
                val inWindow = retries.count { it >= begin && it - begin < 10.seconds }
                assertTrue(inWindow <= 0.2 * 1000 + 52, "$inWindow retries from $begin")
            }
        }

        @Test
        fun `more than half of the retries allowed by the ratio are made`() {
            assertTrue(simulateRetries(requestsPerSecond = 100, seconds = 40).size > 0.5 * 0.2 * 4000)
        }
    }

    @Nested
    inner class `with few requests` {
        @Test
        fun `each instance stays within its share of the extra retries`() {
            val retries = simulateRetries(requestsPerSecond = 6, seconds = 10)
            assertTrue(retries.size <= 52 + 0.2 * 60, "${retries.size}")
            assertTrue(retries.size >= instances, "${retries.size}")
        }
    }
}
