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

    private fun terms(interruptiblePrice: Double?) = ScalingTerms(
        least = 1,
        most = 7,
        startUp = 4.seconds,
        interruptiblePrice = interruptiblePrice,
    )

    @Nested
    inner class `given cheap endpoints that may be taken away` {
        private val targets = assertNotNull(FleetSizing().targets(terms(0.2), dataCentres))

        @Test
        fun `the least number of steady endpoints stays in each data centre`() {
            assertEquals(dataCentres, targets.keys)
            assertTrue(targets.values.all { it.steady == 1 })
        }

        @Test
        fun `both kinds together keep within the operators' limit`() {
            assertTrue(targets.values.all { it.steady + it.interruptible <= 7 })
        }

        @Test
        fun `more endpoints stand for less than the steady ones that they replace cost`() {
            val total = targets.values.sumOf { it.steady + it.interruptible }
            val price = targets.values.sumOf { it.steady + it.interruptible * 0.2 }
            assertTrue(total > 8, "$total endpoints")
            assertTrue(price < 8.0, "at $price a second")
        }
    }

    @Nested
    inner class `without them` {
        @Test
        fun `the operators' numbers stay`() = assertNull(FleetSizing().targets(terms(null), dataCentres))

        @Test
        fun `they stay also when the others are hardly cheaper`() =
            assertNull(FleetSizing().targets(terms(0.9), dataCentres))
    }
}
