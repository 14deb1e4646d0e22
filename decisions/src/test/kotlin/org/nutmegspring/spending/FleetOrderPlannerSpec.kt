package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetOrderPlannerSpec {
    private val rennes = DataCentreId("rennes")
    private val brest = DataCentreId("brest")
    private val targets = listOf(rennes, brest).associateWith { EndpointCounts(1, 6) }
    private val planner = FleetOrderPlanner(maxEndpoints = 7, startUpTime = 4.seconds)
    private val start = MonotonicTime.ZERO

    private fun planAndRecord(
        running: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
        isAccepted: Boolean = true,
        isIdle: Boolean = false,
    ): List<CountOrder> =
        planner.planOrders(targets, running, isIdle, now).onEach { planner.recordSent(it, isAccepted, now) }

    private fun running(steady: Int, interruptible: Int) =
        listOf(rennes, brest).associateWith { EndpointCounts(steady, interruptible) }

    @Nested
    inner class `before the first request` {
        @Test
        fun `all orders are sent at once`() {
            val planned = planAndRecord(running(4, 0), start, isIdle = true)
            val expected = listOf(rennes, brest).flatMap { listOf(CountOrder(it, false, 1), CountOrder(it, true, 6)) }
            assertEquals(expected, planned)
            assertEquals(emptyList(), planAndRecord(running(1, 0), start + 1.seconds, isIdle = true))
        }

        @Test
        fun `the steady order is sent even when its number seems to run already`() {
            val planned = planAndRecord(running(1, 0), start, isIdle = true)
            assertTrue(CountOrder(rennes, false, 1) in planned, "$planned")
        }
    }

    @Nested
    inner class `at the start, with requests in flight` {
        @Test
        fun `interruptible endpoints are ordered up to the free capacity`() {
            val planned = planAndRecord(running(5, 0), start)
            assertEquals(setOf(CountOrder(rennes, true, 2), CountOrder(brest, true, 2)), planned.toSet())
        }

        @Test
        fun `steady ones are released when those serve, and the remaining interruptible ones are ordered`() {
            planAndRecord(running(5, 0), start)
            assertEquals(emptyList(), planAndRecord(running(5, 1), start + 4.seconds))
            val released = planAndRecord(running(5, 2), start + 5.seconds)
            assertEquals(setOf(CountOrder(rennes, false, 1), CountOrder(brest, false, 1)), released.toSet())
            val rest = planAndRecord(running(1, 2), start + 8.seconds)
            assertEquals(setOf(CountOrder(rennes, true, 6), CountOrder(brest, true, 6)), rest.toSet())
        }

        @Test
        fun `a data centre that received no interruptible endpoints keeps its steady ones`() {
            planAndRecord(running(5, 0), start)
            val running = running(5, 0) + (brest to EndpointCounts(5, 2))
            val planned = planAndRecord(running, start + 5.seconds)
            assertEquals(listOf(CountOrder(brest, false, 1)), planned)
        }
    }

    @Nested
    inner class `while the first orders are carried out` {
        @Test
        fun `the fleet is growing until the targets are reached, or for a bounded time`() {
            assertFalse(planner.isGrowing(targets, running(5, 0), start))
            planAndRecord(running(5, 0), start)
            assertTrue(planner.isGrowing(targets, running(5, 3), start + 4.seconds))
            assertFalse(planner.isGrowing(targets, running(1, 6), start + 5.seconds))
            assertFalse(planner.isGrowing(targets, running(5, 3), start + 12.seconds))
        }
    }

    @Nested
    inner class `when endpoints are replaced one by one` {
        @Test
        fun `nothing is ordered although one more runs for a while`() {
            planAndRecord(running(1, 0), start)
            assertEquals(emptyList(), planAndRecord(running(1, 7), start + 6.seconds))
            assertEquals(emptyList(), planAndRecord(running(2, 6), start + 7.seconds))
            assertEquals(emptyList(), planAndRecord(running(1, 6), start + 8.seconds))
            assertEquals(emptyList(), planAndRecord(running(2, 6), start + 9.seconds))
        }
    }

    @Nested
    inner class `when the platform does not accept an order` {
        @Test
        fun `steady endpoints are released by a later order`() {
            planAndRecord(running(1, 0), start)
            planAndRecord(running(5, 6), start + 5.seconds)
            assertEquals(2, planAndRecord(running(5, 6), start + 7.seconds, isAccepted = false).size)
            assertEquals(0, planAndRecord(running(5, 6), start + 8.seconds).size)
            assertEquals(2, planAndRecord(running(5, 6), start + 9.seconds).size)
        }
    }

    @Nested
    inner class `when a data centre took its interruptible endpoints away` {
        private val withLoss = mapOf(rennes to EndpointCounts(1, 0), brest to EndpointCounts(1, 6))

        @Test
        fun `they are ordered again after the repeat interval, not at each check`() {
            planAndRecord(running(1, 0), start)
            assertEquals(emptyList(), planAndRecord(withLoss, start + 5.seconds))
            assertEquals(listOf(CountOrder(rennes, true, 6)), planAndRecord(withLoss, start + 10.seconds))
            assertEquals(emptyList(), planAndRecord(withLoss, start + 11.seconds))
        }

        @Test
        fun `an order that was refused because none are available is repeated soon`() {
            planAndRecord(running(1, 0), start)
            assertEquals(1, planAndRecord(withLoss, start + 20.seconds, isAccepted = false).size)
            assertEquals(0, planAndRecord(withLoss, start + 21.seconds).count { it.isInterruptible })
            assertEquals(listOf(CountOrder(rennes, true, 6)), planAndRecord(withLoss, start + 22.seconds))
        }

        @Test
        fun `steady ones substitute for half of them while none are available, and are released when those return`() {
            planAndRecord(running(1, 0), start)
            planAndRecord(withLoss, start + 20.seconds, isAccepted = false)
            assertTrue(CountOrder(rennes, false, 4) in planAndRecord(withLoss, start + 20.5.seconds))
            val withSubstitutes = running(1, 6) + (rennes to EndpointCounts(4, 0))
            assertEquals(listOf(CountOrder(rennes, true, 3)), planAndRecord(withSubstitutes, start + 25.seconds))
            val withReturned = running(1, 6) + (rennes to EndpointCounts(4, 3))
            planAndRecord(withReturned, start + 30.seconds)
            assertTrue(CountOrder(rennes, false, 1) in planAndRecord(withReturned, start + 32.seconds))
            val rest = running(1, 6) + (rennes to EndpointCounts(1, 3))
            assertEquals(listOf(CountOrder(rennes, true, 6)), planAndRecord(rest, start + 33.seconds))
        }

        @Test
        fun `no steady ones substitute where other data centres run more endpoints instead`() {
            planAndRecord(running(1, 0), start)
            planAndRecord(withLoss, start + 20.seconds, isAccepted = false)
            val planned =
                planner.planOrders(
                    targets,
                    withLoss,
                    isIdle = false,
                    start + 20.5.seconds,
                    replacedElsewhere = setOf(rennes),
                )
            assertEquals(emptyList(), planned)
        }

        @Test
        fun `a lost steady endpoint is ordered at once`() {
            val lost = running(1, 6) + (rennes to EndpointCounts(0, 6))
            assertEquals(listOf(CountOrder(rennes, false, 1)), planAndRecord(lost, start))
        }
    }
}
