package org.nutmegspring.gateway.forwarding

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.peers.PeerMessage
import org.nutmegspring.gateway.peers.PeerMessageCodec
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.theatre
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.quota.QuotaDecision
import org.nutmegspring.quota.QuotaRate
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// Guards against QUOTA: an instance that started after a kill did not know what the fleet had charged in the window.
class QuotaTableSpec {
    private val clock = TestClock().apply { advance(60.seconds) }
    private val organisation = theatre.copy(quota = QuotaRate(unitsPerSecond = 100.0, burst = 100.0))

    private var wallClockStep = 0.seconds

    private fun createTable() =
        QuotaTable(clock, { (clock.now() - MonotonicTime.ZERO + wallClockStep).inWholeMilliseconds }) { 8.seconds }
            .also { it.configure(configurationOf(organisations = listOf(organisation))) }

    private fun QuotaTable.use(requests: Int) =
        repeat(requests) { assertIs<QuotaDecision.Admitted>(charge(organisation, tokens = null)) }

    private fun QuotaTable.countAdmitted(): Int =
        generateSequence { charge(organisation, tokens = null) }.takeWhile { it is QuotaDecision.Admitted }.count()

    /** Sends a report of [sender], which has run for 60 s, through the codec to [receiver]. */
    private fun report(
        sender: QuotaTable,
        receiver: QuotaTable,
        withHistory: Boolean,
        runningFor: Duration? = null,
    ) {
        val report = PeerReport(
            instance = InstanceId("b"),
            incarnation = Incarnation(1),
            startedAtMilliseconds = 0,
            sequence = 1,
            intervalMilliseconds = 100,
            phase = InstancePhase.READY,
            charges = sender.nextCharges(10),
            chargeHistory = if (withHistory) sender.createHistory(10) else null,
            runningForMilliseconds = runningFor?.inWholeMilliseconds,
        )
        val received = PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage.Report(report)))
        receiver.recordPeerReport(assertIs<PeerMessage.Report>(received).report)
        receiver.updateMembers(listOf(InstanceId("b")))
    }

    @Nested
    inner class `given an instance that starts after the fleet has used most of a quota` {
        private val running = createTable()

        private fun startAnother(): QuotaTable {
            clock.advance(30.seconds)
            running.use(800)
            clock.advance(1.seconds)
            return createTable()
        }

        @Test
        fun `it admits only what is left once it knows the history of another`() {
            val started = startAnother()
            clock.advance(1.seconds)
            report(running, started, withHistory = true)
            assertNull(started.findCoverage())
            assertTrue(started.countAdmitted() in 80..100)
        }

        @Test
        fun `it asks for the history until it knows it`() {
            val started = startAnother()
            assertEquals(0.seconds, started.findCoverage())
            assertTrue(running.canInform(0.seconds))
            report(running, started, withHistory = false)
            assertEquals(0.seconds, started.findCoverage())
        }

        @Test
        fun `instances that started together cannot inform each other`() {
            val started = startAnother()
            assertFalse(started.canInform(createTable().findCoverage() ?: 8.seconds))
        }

        @Test
        fun `what it charged itself still counts`() {
            val started = startAnother()
            started.use(20)
            clock.advance(1.seconds)
            report(running, started, withHistory = true)
            assertTrue(started.countAdmitted() in 60..80)
        }
    }

    // Guards against QUOTA: a step of the receiver's wall clock made it count a part of what another had charged.
    @Nested
    inner class `given an instance that has run for less than a window` {
        @Test
        fun `all that it charged counts, although the wall clock has stepped`() {
            val sender = createTable()
            val receiver = createTable()
            clock.advance(4.seconds)
            sender.use(400)
            wallClockStep = 30.seconds
            report(sender, receiver, withHistory = false, runningFor = 4.seconds)
            assertTrue(receiver.countAdmitted() <= 500)
        }
    }
}
