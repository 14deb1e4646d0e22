package org.nutmegspring.node.control

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.order.EngineOrderRules
import org.nutmegspring.order.orderKey
import org.nutmegspring.standin.engine.EngineStandIn
import org.nutmegspring.standin.engine.EngineStandInSettings
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.storeclient.createHttpPlatform
import org.nutmegspring.time.agesWithoutSuspension
import org.nutmegspring.time.systemMonotonicClock
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class EngineOrdererSpec {
    private val clock = systemMonotonicClock()

    /** Orders an engine to the decode role under [lease], and calls [check] with the results. */
    private fun withOrderer(lease: HeldLease, check: suspend (EngineOrderer, EngineStandIn, PlatformStandIn) -> Unit) =
        runBlocking {
            val platform = PlatformStandIn()
            val server = platform.start("127.0.0.1", 0)
            val store = createHttpPlatform(server.address)
            val template = EndpointDescription(
                id = EndpointId("engine-1"),
                kind = EndpointKind.Engine,
                dataCentre = DataCentreId("rennes"),
                address = "127.0.0.1:0",
                fencing = FencingSupport.IGNORED,
            )
            val engine = EngineStandIn(EngineStandInSettings(template, changeTime = 10.milliseconds))
            val engineServer = engine.start("127.0.0.1", 0)
            val selector = SelectorManager(Dispatchers.IO)
            val rules = EngineOrderRules(LeaseTiming(), requestLimit = 30.seconds)
            val connections = HttpEngineConnections(selector, timeout = 3.seconds)
            val orderer =
                EngineOrderer(store, clock, rules, connections, { clock.now() + 10.minutes }) {
                    lease.takeIf { it.isValid(clock.agesWithoutSuspension()) }
                }
            val description = template.copy(address = engineServer.address)
            val target = engine.state().target.copy(role = EngineRole.DECODE)
            orderer.reconcile(description, target)
            check(orderer, engine, platform)
            listOf(engine, selector, store, server).forEach { it.close() }
        }

    @Nested
    inner class `given a lease that outlasts the request limit of the engine` {
        @Test
        fun `brings the engine to the target and records the order`() {
            val lease = HeldLease(FencingToken(3), clock.now(), 10.minutes)
            withOrderer(lease) { orderer, engine, platform ->
                assertEquals(EngineRole.DECODE, engine.state().target.role)
                assertEquals(1, engine.state().acceptedSequence)
                assertContains(platform.objects.read(orderKey(EndpointId("engine-1")))?.value.orEmpty(), "REACHED")
                assertTrue(orderer.isSettled())
            }
        }
    }

    @Nested
    inner class `given a lease that does not outlast the request limit of the engine` {
        @Test
        fun `sends no order`() {
            withOrderer(HeldLease(FencingToken(3), clock.now(), 500.milliseconds)) { _, engine, _ ->
                assertEquals(0, engine.state().acceptedSequence)
            }
        }
    }
}
