package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EndpointTableSpec {
    private val centre = DataCentreId("abdali")
    private val model = ModelId("dispatch")
    private val service = ServiceId("booking")
    private val start = MonotonicTime.ZERO
    private val table = EndpointTable(centre, EngineCosts(), Random(1))
    private val demand = GenerationDemand(emptyList(), 500, 10, centre)

    private fun listed(name: String, kind: EndpointKind, state: ListedState = ListedState.LIVE) =
        ListedEndpoint(EndpointDescription(EndpointId(name), kind, centre, "127.0.0.1:1"), state)

    private val engines = listOf("a", "b", "c").map { listed(it, EndpointKind.Engine) }
    private val services = listOf("s", "t").map { listed(it, EndpointKind.Plain(service)) }

    private fun report(name: String, sequence: Long = 1, model: ModelId = this.model) =
        LoadReport(EndpointId(name), EngineTarget(EngineRole.MIXED, model, "1"), false, 0, 0, 0, sequence)

    private fun listAndReport() {
        table.update(engines + services, emptySet(), 1)
        engines.forEach { table.applyReport(report(it.endpoint.id.value), start, Duration.ZERO) }
    }

    private fun chosenEngines(time: MonotonicTime = start): Set<String> =
        List(100) { table.chooseEngine(model, demand, emptySet(), time)?.decode?.id?.value }.filterNotNull().toSet()

    @Nested
    inner class `given a departing engine` {
        @Test
        fun `it gets no requests if it is listed as departing, even if it reports its load`() {
            listAndReport()
            table.update(engines.drop(1) + listed("a", EndpointKind.Engine, ListedState.DEPARTING), emptySet(), 1)
            table.applyReport(report("a", 2), start, Duration.ZERO)
            assertEquals(setOf("b", "c"), chosenEngines())
        }

        @Test
        fun `it gets no requests if another instance reports it as departing before the list does`() {
            listAndReport()
            table.update(engines, setOf(EndpointId("b")), 1)
            assertEquals(setOf("a", "c"), chosenEngines())
        }
    }

    @Nested
    inner class `given a failing engine` {
        @Test
        fun `it gets no requests until the circuit allows a probe`() {
            listAndReport()
            repeat(2) { table.recordCompletion(EndpointId("a"), failed = true, start) }
            assertEquals(setOf("b", "c"), chosenEngines())
            assertTrue("a" in chosenEngines(start + 2.seconds))
        }

        @Test
        fun `it is chosen if all engines fail`() {
            listAndReport()
            engines.forEach { engine -> repeat(2) { table.recordCompletion(engine.endpoint.id, failed = true, start) } }
            assertEquals(setOf("a", "b", "c"), chosenEngines())
        }

        @Test
        fun `it gets no requests while its load reports cannot be read, regardless of the time`() {
            listAndReport()
            repeat(2) { table.recordMissedReport(EndpointId("c")) }
            assertEquals(setOf("a", "b"), chosenEngines(start + 60.seconds))
            table.applyReport(report("c", 2), start + 60.seconds, Duration.ZERO)
            assertTrue("c" in chosenEngines(start + 60.seconds))
        }
    }

    @Nested
    inner class `given an engine that changes its model` {
        @Test
        fun `it gets requests for the new model only`() {
            listAndReport()
            val other = ModelId("ledger")
            table.applyReport(report("a", 2, other), start, Duration.ZERO)
            assertEquals(setOf("b", "c"), chosenEngines())
            assertEquals("a", table.chooseEngine(other, demand, emptySet(), start)?.decode?.id?.value)
        }

        @Test
        fun `an older report does not restore the previous model`() {
            listAndReport()
            table.applyReport(report("a", 5, ModelId("ledger")), start, Duration.ZERO)
            table.applyReport(report("a", 4), start, Duration.ZERO)
            assertEquals(setOf("b", "c"), chosenEngines())
        }
    }

    @Nested
    inner class `given endpoints of a service` {
        @Test
        fun `the endpoint with the fewest running requests is chosen and excluded ones are not`() {
            listAndReport()
            val first = assertNotNull(table.chooseService(service, emptySet(), start)).id
            table.recordStart(first, start)
            val second = assertNotNull(table.chooseService(service, emptySet(), start)).id
            assertTrue(first != second)
            assertNull(table.chooseService(service, setOf(first, second), start))
        }
    }
}
