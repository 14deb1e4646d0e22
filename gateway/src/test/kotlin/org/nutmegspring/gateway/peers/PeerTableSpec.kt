package org.nutmegspring.gateway.peers

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.CallerTarget
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
        phase = phase,
        configurationVersion = 1,
        evidenceAgeMilliseconds = evidenceAge,
        windows = windows,
        endedProcesses = endedProcesses,
    )

    private fun register(vararg names: String) =
        names.forEach { table.register(InstanceId(it), InstanceRecord("$it:2", "$it:1")) }

    private fun addresses(isReady: Boolean = true, evidenceAge: Long? = 100) =
        table.callerTargets(OwnAddress(CallerTarget("self:1", null), isReady, evidenceAge), clock.now())
            .map { it.address }

    // Guards against QUOTA: after a restart with the clock set back, an instance and its charges went unheard.
    @Nested
    inner class `when a process seems to have started before the one it replaced` {
        private fun report(incarnation: Long, startedAt: Long) =
            table.recordReport(report("a", incarnation = incarnation, startedAt = startedAt), clock.now())

        @Test
        fun `its reports count once the last report of the other has expired`() {
            register("a")
            assertTrue(report(incarnation = 1, startedAt = 5_000))
            clock.advance(1.seconds)
            assertFalse(report(incarnation = 2, startedAt = 3_000), "it may be a late report of an earlier process")
            clock.advance(1.seconds)
            assertTrue(report(incarnation = 2, startedAt = 3_000))
        }
    }

    @Nested
    inner class `when callers ask for addresses` {
        @Test
        fun `only live and ready instances are returned`() {
            register("a", "b", "c")
            table.recordReport(report("a"), clock.now())
            table.recordReport(report("b", phase = InstancePhase.DRAINING), clock.now())
            assertEquals(listOf("a:1", "self:1"), addresses())
            clock.advance(2.seconds)
            assertEquals(listOf("self:1"), addresses())
        }

        @Test
        fun `a report of an instance with a longer report interval is valid for longer`() {
            register("a")
            table.recordReport(report("a", interval = 740), clock.now())
            clock.advance(2.seconds)
            assertEquals(listOf("a:1", "self:1"), addresses())
            clock.advance(1.seconds)
            assertEquals(listOf("self:1"), addresses())
        }

        @Test
        fun `instances without fresh configuration evidence are returned only when no instance has it`() {
            register("a", "b")
            table.recordReport(report("a", evidenceAge = 4_000), clock.now())
            table.recordReport(report("b"), clock.now())
            assertEquals(listOf("b:1"), addresses(evidenceAge = 4_000))
            table.recordReport(report("b", sequence = 2, evidenceAge = null), clock.now())
            assertEquals(listOf("a:1", "b:1", "self:1"), addresses(evidenceAge = 4_000))
        }
    }

    @Nested
    inner class `when reports arrive out of order` {
        @Test
        fun `an older report of the same process is ignored`() {
            register("a")
            assertTrue(table.recordReport(report("a", sequence = 5), clock.now()))
            assertFalse(table.recordReport(report("a", sequence = 4), clock.now()))
        }

        @Test
        fun `a report of an earlier process is ignored`() {
            register("a")
            assertTrue(table.recordReport(report("a", sequence = 1, incarnation = 2, startedAt = 50), clock.now()))
            assertFalse(table.recordReport(report("a", sequence = 900, incarnation = 1, startedAt = 10), clock.now()))
        }
    }

    @Nested
    inner class `when a process ends during a usage window` {
        @Test
        fun `its counts are kept in addition to the counts of its successor`() {
            register("a")
            table.recordReport(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            val successor =
                report("a", incarnation = 2, startedAt = 50, windows = listOf(WindowReport(7, mapOf(theatre to 2))))
            table.recordReport(successor, clock.now())
            assertEquals(5, table.windowCounts(7).sumOf { it.getValue(theatre) })
        }

        @Test
        fun `an instance that starts afterwards receives its counts from the others`() {
            table.recordReport(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            assertEquals(emptyList(), table.nextEndedProcesses(clock.now()))
            clock.advance(2.seconds)
            val relayed = table.nextEndedProcesses(clock.now())
            val later = PeerTable(InstanceId("later"), Incarnation(100))
            repeat(2) { later.recordReport(report("self", sequence = it + 1L, endedProcesses = relayed), clock.now()) }
            assertEquals(listOf(mapOf(theatre to 3L)), later.windowCounts(7))
        }

        @Test
        fun `the counts of many silent processes are relayed a few at a time until all were`() {
            val windows = listOf(WindowReport(7, mapOf(theatre to 3)))
            repeat(5) { table.recordReport(report("i$it", incarnation = it + 1L, windows = windows), clock.now()) }
            clock.advance(2.seconds)
            val relayed = List(3) { table.nextEndedProcesses(clock.now()) }
            assertEquals(listOf(2, 2, 2), relayed.map { it.size })
            assertEquals((1..5L).map(::Incarnation).toSet(), relayed.flatten().map { it.incarnation }.toSet())
        }

        @Test
        fun `a process whose report is still valid does not count as ended`() {
            val windows = listOf(WindowReport(7, mapOf(theatre to 3)))
            table.recordReport(report("a", windows = windows, interval = 740), clock.now())
            clock.advance(2.seconds)
            assertEquals(emptyList(), table.nextEndedProcesses(clock.now()))
        }

        @Test
        fun `relayed counts never replace greater ones`() {
            table.recordReport(report("a", windows = listOf(WindowReport(7, mapOf(theatre to 3)))), clock.now())
            val old = EndedProcessReport(Incarnation(1), listOf(WindowReport(7, mapOf(theatre to 1))))
            table.recordReport(report("b", incarnation = 2, endedProcesses = listOf(old)), clock.now())
            assertEquals(listOf(mapOf(theatre to 3L)), table.windowCounts(7))
        }
    }
}
