package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetOrdersSpec {
    private val rennes = DataCentreId("rennes")
    private val brest = DataCentreId("brest")
    private val targets = listOf(rennes, brest).associateWith { EndpointCounts(1, 6) }
    private val orders = FleetOrders(most = 7, startUp = 4.seconds)
    private val start = MonotonicTime.ZERO

    private fun due(
        standing: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
        isTaken: Boolean = true,
        isIdle: Boolean = false,
    ): List<CountOrder> = orders.due(targets, standing, isIdle, now).onEach { orders.sent(it, isTaken, now) }

    private fun standing(steady: Int, interruptible: Int) =
        listOf(rennes, brest).associateWith { EndpointCounts(steady, interruptible) }

    @Nested
    inner class `before the first work` {
        @Test
        fun `the fleet takes its shape at once`() {
            val due = due(standing(4, 0), start, isIdle = true)
            val shape = listOf(rennes, brest).flatMap { listOf(CountOrder(it, false, 1), CountOrder(it, true, 6)) }
            assertEquals(shape, due)
            assertEquals(emptyList(), due(standing(1, 0), start + 1.seconds, isIdle = true))
        }

        @Test
        fun `steady endpoints that are not listed yet make room too`() {
            val due = due(standing(1, 0), start, isIdle = true)
            assertTrue(CountOrder(rennes, false, 1) in due, "$due")
        }
    }

    @Nested
    inner class `at the start, with work` {
        @Test
        fun `as many interruptible endpoints are ordered as there is room for`() {
            val due = due(standing(5, 0), start)
            assertEquals(setOf(CountOrder(rennes, true, 2), CountOrder(brest, true, 2)), due.toSet())
        }

        @Test
        fun `steady ones are given back when those serve, and the rest is ordered in their place`() {
            due(standing(5, 0), start)
            assertEquals(emptyList(), due(standing(5, 1), start + 4.seconds))
            val givenBack = due(standing(5, 2), start + 5.seconds)
            assertEquals(setOf(CountOrder(rennes, false, 1), CountOrder(brest, false, 1)), givenBack.toSet())
            val rest = due(standing(1, 2), start + 8.seconds)
            assertEquals(setOf(CountOrder(rennes, true, 6), CountOrder(brest, true, 6)), rest.toSet())
        }

        @Test
        fun `a data centre that got none keeps its steady ones`() {
            due(standing(5, 0), start)
            val standing = standing(5, 0) + (brest to EndpointCounts(5, 2))
            val due = due(standing, start + 5.seconds)
            assertEquals(listOf(CountOrder(brest, false, 1)), due)
        }
    }

    @Nested
    inner class `while the first orders are carried out` {
        @Test
        fun `the fleet grows until it stands, or for a bounded time`() {
            assertFalse(orders.isGrowing(targets, standing(5, 0), start))
            due(standing(5, 0), start)
            assertTrue(orders.isGrowing(targets, standing(5, 3), start + 4.seconds))
            assertFalse(orders.isGrowing(targets, standing(1, 6), start + 5.seconds))
            assertFalse(orders.isGrowing(targets, standing(5, 3), start + 12.seconds))
        }
    }

    @Nested
    inner class `when endpoints are replaced one by one` {
        @Test
        fun `nothing is ordered although one more stands for a while`() {
            due(standing(1, 0), start)
            assertEquals(emptyList(), due(standing(1, 7), start + 6.seconds))
            assertEquals(emptyList(), due(standing(2, 6), start + 7.seconds))
            assertEquals(emptyList(), due(standing(1, 6), start + 8.seconds))
            assertEquals(emptyList(), due(standing(2, 6), start + 9.seconds))
        }
    }

    @Nested
    inner class `when the platform does not take an order` {
        @Test
        fun `steady endpoints are given back by a later one`() {
            due(standing(1, 0), start)
            due(standing(5, 6), start + 5.seconds)
            assertEquals(2, due(standing(5, 6), start + 7.seconds, isTaken = false).size)
            assertEquals(0, due(standing(5, 6), start + 8.seconds).size)
            assertEquals(2, due(standing(5, 6), start + 9.seconds).size)
        }
    }

    @Nested
    inner class `when a data centre took its interruptible endpoints away` {
        private val taken = mapOf(rennes to EndpointCounts(1, 0), brest to EndpointCounts(1, 6))

        @Test
        fun `they are ordered again after a pause, not at each check`() {
            due(standing(1, 0), start)
            assertEquals(emptyList(), due(taken, start + 5.seconds))
            assertEquals(listOf(CountOrder(rennes, true, 6)), due(taken, start + 10.seconds))
            assertEquals(emptyList(), due(taken, start + 11.seconds))
        }

        @Test
        fun `an order that was refused since there are none is repeated soon`() {
            due(standing(1, 0), start)
            assertEquals(1, due(taken, start + 20.seconds, isTaken = false).size)
            assertEquals(0, due(taken, start + 21.seconds).count { it.isInterruptible })
            assertEquals(listOf(CountOrder(rennes, true, 6)), due(taken, start + 22.seconds))
        }

        @Test
        fun `steady ones stand in for half of them while there are none, and leave when those are back`() {
            due(standing(1, 0), start)
            due(taken, start + 20.seconds, isTaken = false)
            assertTrue(CountOrder(rennes, false, 4) in due(taken, start + 20.5.seconds))
            val standIns = standing(1, 6) + (rennes to EndpointCounts(4, 0))
            assertEquals(listOf(CountOrder(rennes, true, 3)), due(standIns, start + 25.seconds))
            val back = standing(1, 6) + (rennes to EndpointCounts(4, 3))
            due(back, start + 30.seconds)
            assertTrue(CountOrder(rennes, false, 1) in due(back, start + 32.seconds))
            val rest = standing(1, 6) + (rennes to EndpointCounts(1, 3))
            assertEquals(listOf(CountOrder(rennes, true, 6)), due(rest, start + 33.seconds))
        }

        @Test
        fun `a lost steady endpoint is ordered at once`() {
            val lost = standing(1, 6) + (rennes to EndpointCounts(0, 6))
            assertEquals(listOf(CountOrder(rennes, false, 1)), due(lost, start))
        }
    }
}
