package org.nutmegspring.gateway.duties

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.singleInstance
import org.nutmegspring.gateway.store.FeedEntry
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.FeedPosition
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.roles.RoleBalancer
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class RoleOrdererSpec {
    private val orders = RecordedDutyCalls()
    private val table = EndpointTable({ 1_000 }, singleInstance, { !isEvacuated }) { _, _ -> }
    private var isHeld = true
    private var isEvacuated = false

    private fun TestScope.start(): RoleOrderer {
        val caller = dutyCaller(orders) { isHeld }
        val orderer = RoleOrderer(caller, table, RoleBalancer(), { false }, { 300.milliseconds })
        backgroundScope.launch { orderer.run() }
        return orderer
    }

    private fun listEngines(prefill: Int, decode: Int) {
        val entries = List(prefill + decode) { index ->
            val role = if (index < prefill) EngineRole.PREFILL else EngineRole.DECODE
            FeedEntry("e$index", endpointOf("e$index").copy(role = role, slots = 64))
        }
        table.replace(Listing(entries, FeedPosition(1)), null, MonotonicTime.ZERO)
    }

    @Nested
    inner class `when one more decode engine is needed` {
        @Test
        fun `one order is sent, although the engine takes seconds to change`() = runTest {
            listEngines(prefill = 10, decode = 2)
            start()
            testScheduler.advanceTimeBy(10.seconds)
            assertEquals(1, orders.roles.size, "${orders.roles}")
        }
    }

    @Nested
    inner class `when there are more decode than prefill engines` {
        @Test
        fun `each engine that has to change gets one order`() = runTest {
            listEngines(prefill = 5, decode = 8)
            start()
            testScheduler.advanceTimeBy(10.seconds)
            assertEquals(5, orders.roles.size, "${orders.roles}")
            assertEquals(5, orders.roles.distinct().size)
        }
    }

    @Nested
    inner class `before an engine is ordered to change` {
        @Test
        fun `the change is reported to the other instances until the engine has changed`() = runTest {
            listEngines(prefill = 10, decode = 2)
            val orderer = start()
            while (orders.roles.isEmpty() && orderer.changingEngines().isEmpty()) {
                testScheduler.advanceTimeBy(50.milliseconds)
            }
            assertEquals(emptyList(), orders.roles)
            val reported = orderer.changingEngines()
            testScheduler.advanceTimeBy(1.seconds)
            assertEquals(reported, orders.roles.map { it.first })
            assertTrue(checkNotNull(table.findState(reported.single())).isAvoided(MonotonicTime.ZERO + 3.seconds))
            val changed = checkNotNull(table.findState(reported.single())).endpoint.copy(role = EngineRole.DECODE)
            table.applyChange(FeedEvent.Changed(FeedEntry(reported.single().value, changed)), null, MonotonicTime.ZERO)
            assertEquals(emptyList(), orderer.changingEngines())
        }
    }

    // Guards against EVAC: role orders to engines of an evacuated data centre, also when it is evacuated just before.
    @Nested
    inner class `while the data centre is evacuated` {
        @Test
        fun `nothing is ordered`() = runTest {
            listEngines(prefill = 5, decode = 8)
            val orderer = start()
            while (orderer.changingEngines().isEmpty()) testScheduler.advanceTimeBy(50.milliseconds)
            isEvacuated = true
            testScheduler.advanceTimeBy(30.seconds)
            assertEquals(0, orders.roles.size)
        }
    }

    @Nested
    inner class `while another instance holds the duty` {
        @Test
        fun `nothing is ordered`() = runTest {
            isHeld = false
            listEngines(prefill = 5, decode = 8)
            start()
            testScheduler.advanceTimeBy(10.seconds)
            assertEquals(0, orders.roles.size)
        }
    }
}
