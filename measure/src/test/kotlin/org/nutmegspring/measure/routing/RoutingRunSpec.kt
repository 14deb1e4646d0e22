package org.nutmegspring.measure.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.routing.RoutingPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RoutingRunSpec {
    private fun run(
        policy: RoutingPolicy,
        shared: Boolean,
        seed: Long,
        rate: Double,
        admission: Boolean = false,
    ): RoutingRunResult {
        val traffic = TrafficSetting(rate * Office.AMMAN.engines, shared)
        return RoutingRun(
            RoutingRunSetting(Office.AMMAN, policy, traffic, seed, admission, 1.0, 30.seconds, 10.seconds),
        ).run()
    }

    @Nested
    inner class `given one seed` {
        @Test
        fun `two runs are equal`() {
            val policy = RoutingPolicy.ExpectedDelay()
            assertEquals(run(policy, true, 21, 6.0), run(policy, true, 21, 6.0))
        }
    }

    @Nested
    inner class `given little load` {
        @Test
        fun `nearly every request meets the goals`() {
            val result = run(RoutingPolicy.ExpectedDelay(), shared = false, seed = 22, rate = 1.0)
            assertTrue(result.goodput >= 0.98 * result.offered, result.toString())
        }
    }

    @Nested
    inner class `given shared prefixes and more load than fits without cache hits` {
        @Test
        fun `the expected delay serves more in time than the least load`() {
            val product = run(RoutingPolicy.ExpectedDelay(), shared = true, seed = 23, rate = 8.0)
            val baseline = run(RoutingPolicy.LeastLoaded, shared = true, seed = 23, rate = 8.0)
            assertTrue(product.goodput >= 1.1 * baseline.goodput, "$product against $baseline")
            assertTrue(product.cacheHitShare > baseline.cacheHitShare)
        }
    }

    @Nested
    inner class `given far more load than the engines can serve` {
        @Test
        fun `admission keeps a part of the requests in time`() {
            val policy = RoutingPolicy.ExpectedDelay()
            val with = run(policy, shared = false, seed = 24, rate = 8.0, admission = true)
            val without = run(policy, shared = false, seed = 24, rate = 8.0)
            assertTrue(with.goodput >= 1.1 * without.goodput, "$with against $without")
            assertTrue(with.refusedShare > 0 && with.worstServedShare > 0, with.toString())
        }
    }
}
