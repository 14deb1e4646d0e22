package org.nutmegspring.gateway.duties

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.configuration.EngineCapabilities
import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.desk
import org.nutmegspring.gateway.forwarding.AdmittedRequest
import org.nutmegspring.gateway.forwarding.DemandCounter
import org.nutmegspring.gateway.peers.PeerMessage
import org.nutmegspring.gateway.peers.PeerMessageCodec
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.routeOf
import org.nutmegspring.gateway.wire.PromptFacts
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.spending.ScalingPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetDemandsSpec {
    private val clock = TestClock()
    private val engines = EngineCapabilities(64, 440_059, 163_840.0, 2_000.0)
    private val policy = ScalingPolicy(2, 21, 4.seconds, 0.22, mapOf(DataCentreId("rennes") to 0.8))
    private var services = listOf(ServiceDefinition(desk, engines, policy))

    private inner class Instance(number: Long, fleetSize: Int = 2) {
        val counter = DemandCounter()
        val demands = FleetDemands(Incarnation(number), counter, { services }, { fleetSize }, clock)
        private val plain = PeerReport(
            instance = InstanceId("i$number"),
            incarnation = Incarnation(number),
            startedAtMilliseconds = 0,
            sequence = 1,
            intervalMilliseconds = 100,
            phase = InstancePhase.READY,
        )

        fun encodeReport(): ByteArray = PeerMessageCodec.encode(PeerMessage.Report(demands.addTo(plain)))

        fun encodePlainReport(): ByteArray = PeerMessageCodec.encode(PeerMessage.Report(plain))
    }

    private val holder = Instance(1)
    private val other = Instance(2)

    private fun request(promptTokens: Int) = AdmittedRequest(
        RequestFacts(RequestId("r"), null, null, PromptFacts("m", promptTokens, 20, emptyList()), null),
        configurationOf(),
        routeOf("r", "/"),
        desk,
        null,
    )

    private fun decode(bytes: ByteArray): PeerReport = assertIs<PeerMessage.Report>(
        PeerMessageCodec.decode(bytes),
    ).report

    /** Lets [seconds] pass, in each of which both instances are asked for 1,000 tokens and [refused] refuse them. */
    private fun pass(
        seconds: Int,
        refused: Boolean = false,
        isReporting: Boolean = true,
    ) = repeat(seconds * 10) { step ->
        clock.advance(100.milliseconds)
        listOf(holder, other).forEach { it.counter.record(request(100), null, isRefused = refused) }
        if (isReporting && step % 10 == 0) holder.demands.applyReport(decode(other.encodeReport()))
        holder.demands.sample()
    }

    @Nested
    inner class `given the reports of another instance` {
        @Test
        fun `the demand of both adds up, whole prompts where no engine could take them`() {
            pass(20)
            val demand = assertNotNull(holder.demands.find(desk))
            assertEquals(2.0, demand.promptTokensPerMillisecond, 0.1)
            assertEquals(4.0, demand.outputSlots, 0.2)
            assertEquals(0.0, demand.refusedShare)
            assertTrue(demand.isComplete)
        }

        @Test
        fun `refused work is known`() {
            pass(20, refused = true)
            assertEquals(1.0, assertNotNull(holder.demands.find(desk)).refusedShare, 0.01)
        }

        @Test
        fun `an instance that receives no reports measures nothing, however long it is asked for work`() {
            val alone = Instance(3, fleetSize = 3)
            repeat(200) {
                clock.advance(100.milliseconds)
                alone.counter.record(request(100), null, isRefused = false)
                alone.demands.sample()
            }
            assertNull(alone.demands.find(desk))
        }

        @Test
        fun `a report without demand, as of an earlier version, is no demand`() {
            holder.demands.applyReport(decode(other.encodePlainReport()))
            assertNull(holder.demands.find(desk))
        }

        @Test
        fun `a service that is not sized by demand is neither reported nor measured`() {
            pass(2)
            services = listOf(ServiceDefinition(desk, engines, policy.copy(prices = emptyMap())))
            assertEquals(emptyList(), decode(other.encodeReport()).demands)
            services = listOf(ServiceDefinition(desk, null, policy))
            assertEquals(emptyList(), decode(other.encodeReport()).demands)
            pass(2)
            assertNull(holder.demands.find(desk))
        }
    }

    @Nested
    inner class `given the size of reports` {
        private fun addedBytes() = other.encodeReport().size - other.encodePlainReport().size

        @Test
        fun `the demand on one service takes few bytes, also after days`() {
            repeat(1_000) { other.counter.record(request(Int.MAX_VALUE), null, isRefused = true) }
            clock.advance(1_000_000.seconds)
            assertTrue(addedBytes() in 1..60, "${addedBytes()} bytes")
        }

        @Test
        fun `the number of bytes is bounded when there are many services`() {
            services = List(50) { ServiceDefinition(ServiceId("service-with-engines-$it"), engines, policy) }
            assertTrue(addedBytes() in 1..400, "${addedBytes()} bytes")
        }
    }
}
