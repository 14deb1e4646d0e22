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
    private val idlePlacement = fleet.createPlacement(demand, engine, engine, start)
    private val queue = AdmissionQueue<Int>(AdmissionSettings(capacity = 4))

    private fun placementExpecting(firstTokenSeconds: Double, interTokenSeconds: Double): Placement =
        idlePlacement.copy(expectedFirstTokenSeconds = firstTokenSeconds, expectedInterTokenSeconds = interTokenSeconds)

    private fun enqueue(organisation: String, value: Int) =
        queue.enqueue(OrganisationId(organisation), 1, placementExpecting(1.0, 0.05), start, value)

    @Nested
    inner class `given the expected latency of a placement` {
        @Test
        fun `both objectives must be met`() {
            assertTrue(queue.canMeetObjectives(placementExpecting(0.3, 0.04)))
            assertFalse(queue.canMeetObjectives(placementExpecting(0.5, 0.04)))
            assertFalse(queue.canMeetObjectives(placementExpecting(0.3, 0.07)))
        }

        @Test
        fun `the time that a request has already waited counts`() {
            assertFalse(queue.canMeetObjectives(placementExpecting(0.3, 0.04), 200.milliseconds))
        }

        @Test
        fun `a prompt too long for the objective on an idle engine has a longer objective`() {
            assertTrue(queue.canMeetObjectives(placementExpecting(0.9, 0.04).copy(minimumFirstTokenSeconds = 0.8)))
        }
    }

    @Nested
    inner class `given queued requests` {
        @Test
        fun `they expire when their objective can no longer be met`() {
            enqueue("one", 1)
            assertEquals(emptyList(), queue.removeExpired(start + 300.milliseconds))
            assertEquals(listOf(1), queue.removeExpired(start + 400.milliseconds))
        }

        @Test
        fun `organisations are served alternately`() {
            listOf(1, 2, 3).forEach { enqueue("busy", it) }
            enqueue("quiet", 4)
            assertEquals(listOf(1, 4, 2, 3), List(4) { queue.poll() })
        }

        @Test
        fun `a full queue refuses the newest request of the organisation with the most requests`() {
            listOf(1, 2, 3, 4).forEach { enqueue("busy", it) }
            assertIs<EnqueueResult.Refused<Int>>(enqueue("busy", 5))
            assertEquals(4, assertIs<EnqueueResult.QueuedWithEviction<Int>>(enqueue("quiet", 6)).evicted)
        }
    }

    @Nested
    inner class `given a refused request` {
        @Test
        fun `the retry delay is within its bounds`() {
            assertEquals(1.seconds, queue.computeRetryAfter(placementExpecting(0.1, 0.05)))
            assertEquals(10.seconds, queue.computeRetryAfter(placementExpecting(60.0, 0.05)))
        }
    }
}
