package org.nutmegspring.gateway.duties

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.configuration.EngineCapabilities
import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.singleInstance
import org.nutmegspring.gateway.store.FeedEntry
import org.nutmegspring.gateway.store.FeedPosition
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.spending.FleetDemand
import org.nutmegspring.spending.FleetSizing
import org.nutmegspring.spending.ScalingPolicy
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class EndpointOrdererSpec {
    private val calls = RecordedDutyCalls()
    private val table = EndpointTable({ 1_000 }, singleInstance, { !isEvacuated }) { _, _ -> }
    private val service = endpointOf("any").service
    private val policy = ScalingPolicy(minEndpoints = 1, maxEndpoints = 5, 4.seconds, interruptiblePriceRatio = 0.2)
    private var isHeld = true
    private var isEvacuated = false
    private var engines: EngineCapabilities? = null
    private var demand: FleetDemand? = null
    private val log = mutableListOf<DecisionEvent>()

    private fun TestScope.start(scaling: ScalingPolicy? = policy): EndpointOrderer {
        val services = { listOf(ServiceDefinition(service, engines, scaling)) }
        val orderer =
            EndpointOrderer(dutyCaller(calls) { isHeld }, services, table, FleetSizing(), { demand }) { log += it }
        backgroundScope.launch { orderer.run() }
        return orderer
    }

    private fun ordered(): List<Pair<Boolean, Int>> = calls.endpoints.map { it.isInterruptible to it.count }

    private fun listEndpoints(steady: Int, interruptible: Int, departing: Int = 0) {
        val entries = List(steady + interruptible + departing) { index ->
            val state = if (index < steady + interruptible) ListedState.LIVE else ListedState.DEPARTING
            FeedEntry("e$index", endpointOf("e$index").copy(isInterruptible = index >= steady, state = state))
        }
        table.replace(Listing(entries, FeedPosition(1)), null, MonotonicTime.ZERO)
    }

    @Nested
    inner class `given steady endpoints only` {
        @Test
        fun `interruptible endpoints replace them step by step`() = runTest {
            listEndpoints(steady = 3, interruptible = 0)
            checkNotNull(table.findState(EndpointId("e0"))).ownLoad.addRequest(1)
            val orderer = start()
            testScheduler.advanceTimeBy(2.seconds)
            assertEquals(listOf(true to 2), ordered())
            assertTrue(orderer.isGrowing(service))
            listEndpoints(steady = 3, interruptible = 2)
            testScheduler.advanceTimeBy(3.seconds)
            assertEquals(listOf(true to 2, false to 1), ordered())
            listEndpoints(steady = 1, interruptible = 2)
            testScheduler.advanceTimeBy(2.seconds)
            assertEquals(listOf(true to 2, false to 1, true to 4), ordered())
            listEndpoints(steady = 1, interruptible = 4)
            assertFalse(orderer.isGrowing(service))
        }
    }

    @Nested
    inner class `before the first work` {
        @Test
        fun `all orders are sent at once`() = runTest {
            listEndpoints(steady = 3, interruptible = 0)
            start()
            testScheduler.advanceTimeBy(3.seconds)
            assertEquals(listOf(false to 1, true to 4), ordered())
        }
    }

    @Nested
    inner class `when all interruptible endpoints are departing` {
        @Test
        fun `the same number is ordered again`() = runTest {
            listEndpoints(steady = 1, interruptible = 0, departing = 4)
            checkNotNull(table.findState(EndpointId("e0"))).ownLoad.addRequest(1)
            start()
            testScheduler.advanceTimeBy(2.seconds)
            assertEquals(listOf(true to 4), ordered())
        }
    }

    @Nested
    inner class `when the endpoints of a service follow its demand` {
        private val names = listOf("brest", "rennes")
        private val sized = ScalingPolicy(2, 21, 4.seconds, 0.22, names.associate { DataCentreId(it) to 1.0 })
        private val low = FleetDemand(1.0, outputSlots = 1.0, refusedShare = 0.0, isComplete = true)

        private fun listInBoth(interruptible: Int) {
            val entries = names.flatMap { name ->
                List(2 + interruptible) { index ->
                    val endpoint = endpointOf("$name$index")
                        .copy(dataCentre = DataCentreId(name), isInterruptible = index >= 2)
                    FeedEntry("$name$index", endpoint)
                }
            }
            table.replace(Listing(entries, FeedPosition(1)), null, MonotonicTime.ZERO)
        }

        private fun TestScope.startWithWholeRange(): EndpointOrderer {
            engines = EngineCapabilities(64, 440_059, 163_840.0, 2_000.0)
            listInBoth(interruptible = 19)
            checkNotNull(table.findState(EndpointId("brest0"))).ownLoad.addRequest(1)
            return start(sized).also { testScheduler.advanceTimeBy(20.seconds) }
        }

        @Test
        fun `nothing is lowered before the demand is known`() = runTest {
            startWithWholeRange()
            assertEquals(emptyList(), ordered())
        }

        @Test
        fun `they are released by one order in each data centre, which are logged, and roles may still change`() =
            runTest {
                val orderer = startWithWholeRange()
                demand = low
                testScheduler.advanceTimeBy(30.seconds)
                assertEquals(listOf(true to 13, true to 13), ordered())
                assertEquals(2, calls.endpoints.map { it.dataCentre }.distinct().size)
                assertFalse(orderer.isGrowing(service))
                val changes = log.filter { it.name == "endpoint targets changed" }.map { it.fields() }
                assertEquals(listOf("whole_range", "lowered", "lowered"), changes.map { it["reason"] })
                assertEquals("brest:2+13,rennes:2+13", changes.last()["targets"])
                assertEquals(30, orderer.targetEndpoints)
            }

        @Test
        fun `an order that the interface did not answer is repeated`() = runTest {
            startWithWholeRange()
            demand = low
            calls.isAnswering = false
            testScheduler.advanceTimeBy(5.seconds)
            assertTrue(ordered().size >= 2 && ordered().distinct() == listOf(true to 13), "${ordered()}")
        }

        @Test
        fun `an instance that held the duties before starts from what runs`() = runTest {
            val orderer = startWithWholeRange()
            isHeld = false
            testScheduler.advanceTimeBy(2.seconds)
            assertEquals(0, orderer.targetEndpoints)
            demand = low
            listInBoth(interruptible = 15)
            isHeld = true
            testScheduler.advanceTimeBy(5.seconds)
            assertEquals(emptyList(), ordered())
            assertEquals(34, orderer.targetEndpoints)
        }
    }

    @Nested
    inner class `when nothing may be ordered` {
        @Test
        fun `none is, for a service that is not scaled`() = runTest {
            listEndpoints(steady = 4, interruptible = 0)
            start(scaling = null)
            testScheduler.advanceTimeBy(5.seconds)
            assertEquals(0, calls.endpoints.size)
        }

        @Test
        fun `none is, while the data centre is evacuated`() = runTest {
            isEvacuated = true
            listEndpoints(steady = 3, interruptible = 0)
            start()
            testScheduler.advanceTimeBy(5.seconds)
            assertEquals(0, calls.endpoints.size)
        }

        @Test
        fun `none is, while another instance holds the duty`() = runTest {
            isHeld = false
            listEndpoints(steady = 4, interruptible = 0)
            start()
            testScheduler.advanceTimeBy(5.seconds)
            assertEquals(0, calls.endpoints.size)
        }
    }
}
