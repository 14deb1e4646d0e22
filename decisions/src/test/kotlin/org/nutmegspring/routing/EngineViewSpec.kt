package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineViewSpec {
    private val start = MonotonicTime.ZERO
    private val centre = DataCentreId("brest")
    private val id = EndpointId("engine")
    private val demand = GenerationDemand(emptyList(), 4_000, 100, centre)

    private fun report(queuedTokens: Long, streams: Int) =
        LoadReport(id, EngineTarget(EngineRole.MIXED, ModelId("model"), "1"), false, queuedTokens, streams, 0, 1)

    @Nested
    inner class `given work sent after the report was measured` {
        private val fleet = FleetView(EngineCosts(), instances = 7)
        private val engine = fleet.add(id, centre)

        private fun send(time: MonotonicTime) =
            fleet.recordDispatch(demand, fleet.createPlacement(demand, engine, engine, time), time)

        @Test
        fun `it counts immediately and for all instances that see the same report`() {
            send(start)
            assertEquals(28_000.0, engine.scaledQueuedTokens(start))
            assertEquals(7.0, engine.scaledStreams())
            assertEquals(28_000.0, engine.expectedQueuedTokens(start))
            assertEquals(7.0, engine.expectedStreams())
        }

        @Test
        fun `a report that was measured before the dispatch does not replace it`() {
            send(start + 1.seconds)
            fleet.applyReport(report(0, 3), start + 1_200.milliseconds, 400.milliseconds)
            assertEquals(10.0, engine.scaledStreams())
        }

        @Test
        fun `a report that was measured after the dispatch replaces it`() {
            send(start + 1.seconds)
            fleet.applyReport(report(0, 3), start + 1_500.milliseconds, 400.milliseconds)
            assertEquals(3.0, engine.scaledStreams())
        }

        @Test
        fun `the queue shrinks as time passes`() {
            send(start)
            assertEquals(0.0, engine.scaledQueuedTokens(start + 5.seconds))
        }
    }
}
