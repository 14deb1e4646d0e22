package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetSizingSpec {
    private val dataCentres = setOf(DataCentreId("rennes"), DataCentreId("brest"))

    private fun policy(interruptiblePriceRatio: Double?) = ScalingPolicy(
        minEndpoints = 1,
        maxEndpoints = 7,
        startUpTime = 4.seconds,
        interruptiblePriceRatio = interruptiblePriceRatio,
    )

    @Nested
    inner class `given cheap interruptible endpoints` {
        private val targets = assertNotNull(FleetSizing().computeTargets(policy(0.2), dataCentres))

        @Test
        fun `each data centre keeps the minimum number of steady endpoints`() {
            assertEquals(dataCentres, targets.keys)
            assertTrue(targets.values.all { it.steady == 1 })
        }

        @Test
        fun `both kinds together stay within the operators' maximum`() {
            assertTrue(targets.values.all { it.steady + it.interruptible <= 7 })
        }

        @Test
        fun `more endpoints cost less than the steady ones that they replace`() {
            val total = targets.values.sumOf { it.steady + it.interruptible }
            val price = targets.values.sumOf { it.steady + it.interruptible * 0.2 }
            assertTrue(total > 8, "$total endpoints")
            assertTrue(price < 8.0, "at $price a second")
        }
    }

    @Nested
    inner class `without cheap interruptible endpoints` {
        @Test
        fun `the operators' numbers apply when there are none`() =
            assertNull(FleetSizing().computeTargets(policy(null), dataCentres))

        @Test
        fun `the operators' numbers apply when the price is nearly the same`() =
            assertNull(FleetSizing().computeTargets(policy(0.9), dataCentres))
    }
}
