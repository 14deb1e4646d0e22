package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ServicePlacementSpec {
    private val here = DataCentreId("rennes")
    private val there = DataCentreId("brest")

    private fun endpoint(name: String, requests: Int, dataCentre: DataCentreId = here, slowdown: Double = 1.0) =
        ServiceCandidate(EndpointId(name), dataCentre, requests, 6, slowdown)

    @Nested
    inner class `given endpoints with different work` {
        private val placement = ServicePlacement(Random(1))

        @Test
        fun `the one with the least work is chosen, also in another data centre`() {
            val chosen = placement.choose(listOf(endpoint("a", 3), endpoint("b", 1, there)), here)
            assertEquals(EndpointId("b"), chosen)
        }

        @Test
        fun `a slow one counts as fuller`() {
            val chosen = placement.choose(listOf(endpoint("a", 1, slowdown = 6.0), endpoint("b", 3)), here)
            assertEquals(EndpointId("b"), chosen)
        }

        @Test
        fun `without endpoints there is no choice`() {
            assertNull(placement.choose(emptyList(), here))
        }
    }

    @Nested
    inner class `while several instances choose without seeing each other's last choices` {
        @Test
        fun `no endpoint gets more than its slots from a burst that fits`() {
            val chosen = List(12) { ServicePlacement(Random(it)).choose(List(4) { e -> endpoint("e$e", 0) }, here) }
            val most = chosen.groupingBy { it }.eachCount().values.max()
            assertTrue(most <= 6, "$most")
        }
    }
}
