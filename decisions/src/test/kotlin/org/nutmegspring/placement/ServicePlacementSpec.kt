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
    inner class `given endpoints with different utilization` {
        private val placement = ServicePlacement(Random(1))

        @Test
        fun `the one with the lowest is chosen, also in another data centre`() {
            val chosen = placement.choose(listOf(endpoint("a", 3), endpoint("b", 1, there)), here)
            assertEquals(EndpointId("b"), chosen)
        }

        @Test
        fun `a slow endpoint counts as more utilized`() {
            val chosen = placement.choose(listOf(endpoint("a", 1, slowdown = 6.0), endpoint("b", 3)), here)
            assertEquals(EndpointId("b"), chosen)
        }

        @Test
        fun `without endpoints none is chosen`() {
            assertNull(placement.choose(emptyList(), here))
        }
    }

    @Nested
    inner class `while several instances choose without knowing each other's choices` {
        @Test
        fun `a burst that fits the free slots does not exceed the slots of any endpoint`() {
            val chosen = List(12) { ServicePlacement(Random(it)).choose(List(4) { e -> endpoint("e$e", 0) }, here) }
            val most = chosen.groupingBy { it }.eachCount().values.max()
            assertTrue(most <= 6, "$most")
        }
    }
}
