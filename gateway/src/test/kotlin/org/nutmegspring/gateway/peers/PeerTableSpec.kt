package org.nutmegspring.gateway.peers

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.InstancePhase
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PeerTableSpec {
    private val clock = TestClock()
    private val table = PeerTable(InstanceId("self"), Incarnation(99))
    private val theatre = OrganisationId("theatre")

    private fun report(
        name: String,
        sequence: Long = 1,
        incarnation: Long = 1,
        startedAt: Long = 0,
        phase: InstancePhase = InstancePhase.READY,
        evidenceAge: Long? = 100,
        windows: List<WindowReport> = emptyList(),
        interval: Long = 100,
        endedProcesses: List<EndedProcessReport> = emptyList(),
    ) = PeerReport(
        instance = InstanceId(name),
        incarnation = Incarnation(incarnation),
        startedAtMilliseconds = startedAt,
        sequence = sequence,
        intervalMilliseconds = interval,
        dataCentre = DataCentreId("rennes"),
        callerAddress = "$name:1",
        phase = phase,
        configurationVersion = 1,
        evidenceAgeMilliseconds = evidenceAge,
        changingEngines = emptyList(),
        unreachableEndpoints = emptyList(),
        charges = emptyMap(),
        loads = emptyList(),
        promptsRead = emptyList(),
        windows = windows,
        endedProcesses = endedProcesses,
    )

    private fun register(vararg names: String) =
        names.forEach { table.register(InstanceId(it), InstanceRecord("$it:2", "$it:1")) }

    private fun addresses(isReady: Boolean = true, evidenceAge: Long? = 100) =
        table.callerAddresses(OwnAddress("self:1", isReady, evidenceAge), clock.now())

    @Nested
    inner class `when callers ask for addresses` {
        @Test
        fun `they get the live instances that are ready`() {
            register("a", "b", "c")
            table.hear(report("a"), clock.now())
            table.hear(report("b", phase = InstancePhase.DRAINING), clock.now())
            assertEquals(listOf("a:1", "self:1"), addresses())
            clock.pass(2.seconds)
            assertEquals(listOf("self:1"), addresses())
        }

        @Test
        fun `an instance of a large fleet, which tells less often, is believed to live for longer`() {
            register("a")
            table.hear(report("a", interval = 740), clock.now())
            clock.pass(2.seconds)
            assertEquals(listOf("a:1", "self:1"), addresses())
            clock.pass(1.seconds)
            assertEquals(listOf("self:1"), addresses())
        }

        @Test
        fun `instances whose configuration is not proved are named only when there is none other`() {
            register("a", "b")
            table.hear(report("a", evidenceAge = 4_000), clock.now())
            table.hear(report("b"), clock.now())
            assertEquals(listOf("b:1"), addresses(evidenceAge = 4_000))
            table.hear(report("b", sequence = 2, evidenceAge = null), clock.now())
            assertEquals(listOf("a:1", "b:1", "self:1"), addresses(evidenceAge = 4_000))
        }
    }

    @Nested
    inner class `when reports arrive out of order` {
        @Test
        fun `an older one of the same process is not taken`() {
            register("a")
            assertTrue(table.hear(report("a", sequence = 5), clock.now()))
            assertFalse(table.hear(report("a", sequence = 4), clock.now()))
        }

        @Test
        fun `one of an earlier process is not taken`() {
            register("a")
            assertTrue(table.hear(report("a", sequence = 1, incarnation = 2, startedAt = 50), clock.now()))
            assertFalse(table.hear(report("a", sequence = 900, incarnation = 1, startedAt = 10), clock.now()))
        }
    }

    @Nested
    inner class `when a process dies in the middle of a usage window` {
        @Test
        fun `what it counted is kept beside the counts of its successor`() {
            register("a")
            table.hear(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            val successor =
                report("a", incarnation = 2, startedAt = 50, windows = listOf(WindowReport(7, mapOf(theatre to 2))))
            table.hear(successor, clock.now())
            assertEquals(5, table.usage(7).sumOf { it.getValue(theatre) })
        }

        @Test
        fun `an instance that started afterwards learns its counts from the others`() {
            table.hear(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            assertEquals(emptyList(), table.endedProcesses(clock.now()))
            clock.pass(2.seconds)
            val told = table.endedProcesses(clock.now())
            val later = PeerTable(InstanceId("later"), Incarnation(100))
            repeat(2) { later.hear(report("self", sequence = it + 1L, endedProcesses = told), clock.now()) }
            assertEquals(listOf(mapOf(theatre to 3L)), later.usage(7))
        }

        @Test
        fun `counts at second hand never replace greater ones`() {
            table.hear(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            val old = EndedProcessReport(Incarnation(1), listOf(WindowReport(7, mapOf(theatre to 1))))
            table.hear(report("b", incarnation = 2, endedProcesses = listOf(old)), clock.now())
            assertEquals(listOf(mapOf(theatre to 3L)), table.usage(7))
        }
    }
}
