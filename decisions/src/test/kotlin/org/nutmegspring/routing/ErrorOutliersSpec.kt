package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against endpoints that keep their share of the work although they answer it with errors. */
class ErrorOutliersSpec {
    private val endpoints = List(21) { EndpointId("e$it") }
    private val start = MonotonicTime(10.seconds.inWholeNanoseconds)

    /**
     * Returns the failed share of requests that arrive every 5 ms for 7 s at [INSTANCES] instances, which tell each
     * other within 300 ms whom they avoid. [failureShare] gives the failing share of each endpoint.
     */
    private fun replay(seed: Int, isUsed: Boolean, failureShare: (Int) -> Double): Pair<Double, Int> {
        val random = Random(seed)
        val instances = List(INSTANCES) { ErrorOutliers() }
        val avoided = List(INSTANCES) { HashMap<EndpointId, ClosedRange<MonotonicTime>>() }
        var failed = 0
        var avoidances = 0
        repeat(REQUESTS) { index ->
            val now = start + 5.milliseconds * index
            val instance = random.nextInt(INSTANCES)
            val known = avoided.flatMapIndexed { other, own ->
                val delay = if (other == instance) 0.milliseconds else 300.milliseconds
                own.filterValues { now - delay >= it.start && now < it.endInclusive }.keys
            }.toSet()
            val usable = endpoints.filterNot { isUsed && it in known }.ifEmpty { endpoints }
            val endpoint = usable.random(random)
            val isError = random.nextDouble() < failureShare(endpoints.indexOf(endpoint))
            if (isError) failed++
            instances[instance].record(endpoint, isError, now)?.let {
                avoidances++
                avoided[instance][endpoint] = now..it
            }
        }
        return failed.toDouble() / REQUESTS to avoidances
    }

    @Nested
    inner class `given three endpoints that fail 40 in 100 of their requests` {
        @Test
        fun `fewer requests fail than when nothing is avoided`() {
            val grey = { index: Int -> if (index < 3) 0.4 else 0.0 }
            val before = (1..10).map { replay(it, isUsed = false, grey).first }.average()
            val after = (1..10).map { replay(it, isUsed = true, grey).first }.average()
            println("failed share: %.4f when nothing is avoided, %.4f with outliers avoided".format(before, after))
            assertTrue(after < before / 2, "$after against $before")
        }
    }

    @Nested
    inner class `given requests that fail at any endpoint` {
        @Test
        fun `hardly any endpoint is avoided`() {
            val (_, avoidances) = replay(1, isUsed = true) { 0.3 }
            assertTrue(avoidances < REQUESTS * 0.3 / 10, "$avoidances")
        }
    }

    @Nested
    inner class `given one endpoint that fails among others that do not` {
        private val outliers = ErrorOutliers().also { all ->
            repeat(20) { all.record(endpoints[1 + it % 5], isError = false, start) }
        }

        @Test
        fun `it is avoided for longer when it fails again`() {
            val first = assertNotNull(outliers.record(endpoints[0], isError = true, start))
            assertEquals(start + 1.seconds, first)
            assertEquals(first + 2.seconds, outliers.record(endpoints[0], isError = true, first))
        }

        @Test
        fun `a new process begins anew`() {
            outliers.record(endpoints[0], isError = true, start)
            outliers.forget(endpoints[0])
            assertEquals(start + 1.seconds, outliers.record(endpoints[0], isError = true, start))
        }

        @Test
        fun `nothing is concluded from a single endpoint`() {
            assertNull(ErrorOutliers().record(endpoints[0], isError = true, start))
        }
    }

    private companion object {
        const val INSTANCES = 16
        const val REQUESTS = 1_400
    }
}
