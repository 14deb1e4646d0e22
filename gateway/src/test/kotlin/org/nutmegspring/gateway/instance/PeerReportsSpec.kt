package org.nutmegspring.gateway.instance

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.crashGuardOf
import org.nutmegspring.gateway.duties.FleetDemands
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.forwarding.DemandCounter
import org.nutmegspring.gateway.forwarding.EndpointLimits
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.peers.EndpointLimitReport
import org.nutmegspring.gateway.peers.PeerMessage
import org.nutmegspring.gateway.peers.PeerMessageCodec
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.PromptPartEntry
import org.nutmegspring.gateway.singleInstance
import org.nutmegspring.gateway.store.FeedEntry
import org.nutmegspring.gateway.store.FeedPosition
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.gateway.store.StoreHistory
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.membership.InstancePhase
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerReportsSpec {
    private val clock = TestClock()
    private val table = EndpointTable({ 1_000 }, singleInstance) { _, _ -> }
    private val self = InstanceId("self")
    private val crashGuard = crashGuardOf(clock)
    private val reports =
        PeerReports(
            self,
            PeerTable(self, Incarnation(9)),
            QuotaTable(clock) {
                8.seconds
            },
            table,
            crashGuard,
            EndpointLimits(table, clock) { },
            StoreHistory(clock) { _, _ -> },
            FleetDemands(Incarnation(9), DemandCounter(), { emptyList() }, { 1 }, clock),
            clock,
        )
    private val service = endpointOf("any").service

    init {
        val entries = List(4) { FeedEntry("e$it", endpointOf("e$it")) }
        table.replace(Listing(entries, FeedPosition(1)), null, clock.now())
    }

    private fun endpoint(name: String): EndpointState = checkNotNull(table.findState(EndpointId(name)))

    private fun usable(): List<String> = table.findUsable(service, clock.now()).map { it.endpoint.id.value }

    private fun report(changing: List<String> = emptyList(), unreachable: List<String> = emptyList()) = PeerReport(
        instance = InstanceId("a"),
        incarnation = Incarnation(1),
        startedAtMilliseconds = 0,
        sequence = 1,
        intervalMilliseconds = 100,
        phase = InstancePhase.READY,
        configurationVersion = 1,
        evidenceAgeMilliseconds = 0,
        changingEngines = changing.map(::EndpointId),
        unreachableEndpoints = unreachable.map(::EndpointId),
    )

    @Nested
    inner class `when another instance changes the role of an engine` {
        @Test
        fun `the engine gets no work while this is reported`() {
            reports.applyReport(report(changing = listOf("e1")))
            assertEquals(listOf("e0", "e2", "e3"), usable())
            clock.advance(1.seconds)
            assertEquals(4, usable().size)
        }
    }

    @Nested
    inner class `when an endpoint does not answer another instance` {
        @Test
        fun `it gets no work here, without a failed attempt by this instance`() {
            reports.applyReport(report(unreachable = listOf("e2")))
            assertEquals(listOf("e0", "e1", "e3"), usable())
        }

        @Test
        fun `it stays in use if it has just answered this instance`() {
            endpoint("e2").recordAnswer(10.milliseconds, 10.milliseconds, clock.now())
            reports.applyReport(report(unreachable = listOf("e2")))
            assertEquals(4, usable().size)
        }

        @Test
        fun `it is used if there is no other`() {
            reports.applyReport(report(unreachable = List(4) { "e$it" }))
            assertEquals(4, usable().size)
        }
    }

    @Nested
    inner class `when endpoints do not answer this instance` {
        private fun makeUnreachable(vararg names: String) = names.forEach { name ->
            repeat(2) { endpoint(name).recordUnanswered(clock.now()) }
        }

        @Test
        fun `they are reported until they answer again`() {
            makeUnreachable("e3")
            assertEquals(listOf(EndpointId("e3")), reports.unreachableEndpoints())
            endpoint("e3").health.recordStart(clock.now())
            endpoint("e3").recordSuccess()
            assertEquals(emptyList(), reports.unreachableEndpoints())
        }

        @Test
        fun `they are reported in turn when there are more than a report may hold`() {
            makeUnreachable("e2", "e3")
            val reported = List(2) { reports.nextUnreachableEndpoints(1).single().value }
            assertEquals(setOf("e2", "e3"), reported.toSet())
        }

        @Test
        fun `it is probed after a pause although other instances report it as unreachable too`() {
            makeUnreachable("e3")
            clock.advance(600.milliseconds)
            reports.applyReport(report(unreachable = listOf("e3")))
            assertTrue("e3" in usable(), "${usable()}")
            assertEquals(emptyList(), reports.unreachableEndpoints())
        }

        @Test
        fun `nothing is reported if most endpoints of a service do not answer`() {
            makeUnreachable("e0", "e1", "e2")
            assertEquals(emptyList(), reports.unreachableEndpoints())
        }
    }

    @Nested
    inner class `when another instance has quarantined a prompt part` {
        private val part = PromptPartId(-7)

        @Test
        fun `requests with the part are refused here as well`() {
            val entry = PromptPartEntry(part, depth = 1, crashAges = mapOf(-5L to 900L), quarantineAge = 100)
            val bytes = PeerMessageCodec.encode(PeerMessage.Report(report().copy(promptParts = listOf(entry))))
            reports.applyReport(assertIs<PeerMessage.Report>(PeerMessageCodec.decode(bytes)).report)
            assertEquals(part, crashGuard.refuse(listOf(PromptPartId(1), part)))
            assertEquals(listOf(part), reports.nextPromptParts(2).map { it.part })
        }
    }

    @Nested
    inner class `when another instance was named a limit` {
        @Test
        fun `the endpoint is chosen in turns here as well`() {
            val named = EndpointLimitReport(EndpointId("e1"), requestsPerSecond = 0.5, ageMilliseconds = 0)
            val bytes = PeerMessageCodec.encode(PeerMessage.Report(report().copy(limits = listOf(named))))
            reports.applyReport(assertIs<PeerMessage.Report>(PeerMessageCodec.decode(bytes)).report)
            assertEquals(0.5, endpoint("e1").limit.requestsPerSecond)
            assertEquals(emptyList(), reports.nextLimits(2))
        }
    }
}
