package org.nutmegspring.admission

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.routing.FleetView
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.routing.Placement
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionQueueSpec {
    private val start = MonotonicTime.ZERO
    private val fleet = FleetView(EngineCosts())
    private val engine = fleet.add(EndpointId("engine"), DataCentreId("rennes"))
    private val demand = GenerationDemand(emptyList(), 1_000, 10, engine.dataCentre)
    private val idle = fleet.placement(demand, engine, engine, start)
    private val queue = AdmissionQueue<Int>(AdmissionSetting(capacity = 4))

    private fun expecting(firstToken: Double, gap: Double): Placement =
        idle.copy(expectedFirstToken = firstToken, expectedGap = gap)

    private fun arrive(organisation: String, value: Int) =
        queue.arrive(OrganisationId(organisation), 1, expecting(1.0, 0.05), start, value)

    @Nested
    inner class `given what is expected of a placement` {
        @Test
        fun `both goals have to be met`() {
            assertTrue(queue.meetsGoals(expecting(0.3, 0.04)))
            assertFalse(queue.meetsGoals(expecting(0.5, 0.04)))
            assertFalse(queue.meetsGoals(expecting(0.3, 0.07)))
        }

        @Test
        fun `the time that a request has waited counts`() {
            assertFalse(queue.meetsGoals(expecting(0.3, 0.04), 200.milliseconds))
        }

        @Test
        fun `a prompt that cannot meet the goal on an idle engine has a goal of its own`() {
            assertTrue(queue.meetsGoals(expecting(0.9, 0.04).copy(leastFirstToken = 0.8)))
        }
    }

    @Nested
    inner class `given requests that wait` {
        @Test
        fun `they are refused when their goal can no longer be met`() {
            arrive("one", 1)
            assertEquals(emptyList(), queue.expire(start + 300.milliseconds))
            assertEquals(listOf(1), queue.expire(start + 400.milliseconds))
        }

        @Test
        fun `organisations take turns`() {
            listOf(1, 2, 3).forEach { arrive("busy", it) }
            arrive("quiet", 4)
            assertEquals(listOf(1, 4, 2, 3), List(4) { queue.poll() })
        }

        @Test
        fun `a full queue refuses the newest of the organisation that holds the most`() {
            listOf(1, 2, 3, 4).forEach { arrive("busy", it) }
            assertIs<Arrival.Refused<Int>>(arrive("busy", 5))
            assertEquals(4, assertIs<Arrival.WaitingInPlaceOf<Int>>(arrive("quiet", 6)).refused)
        }
    }

    @Nested
    inner class `given a refusal` {
        @Test
        fun `it names a time within the bounds`() {
            assertEquals(1.seconds, queue.retryAfter(expecting(0.1, 0.05)))
            assertEquals(10.seconds, queue.retryAfter(expecting(60.0, 0.05)))
        }
    }
}
