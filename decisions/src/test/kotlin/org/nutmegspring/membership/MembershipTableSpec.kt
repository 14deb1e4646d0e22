package org.nutmegspring.membership

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class MembershipTableSpec {
    private val start = MonotonicTime.ZERO + 1000.seconds
    private val rennes = DataCentreId("rennes")
    private val self = InstanceId("a")
    private val other = InstanceId("b")
    private val third = InstanceId("c")
    private val table = MembershipTable(self)

    private fun listedInstance(id: InstanceId) =
        ListedInstance(id, rennes, "127.0.0.1:1", "127.0.0.1:2", ListedState.LIVE)

    private fun report(
        id: InstanceId,
        sequence: Long,
        age: Duration = Duration.ZERO,
        phase: InstancePhase = InstancePhase.READY,
        incarnation: Long = 1,
    ) = MemberReport(
        MemberState(
            id,
            Incarnation(incarnation),
            rennes,
            "127.0.0.1:1",
            "127.0.0.1:2",
            phase,
            0.0,
            Revision(1),
            age,
            null,
        ),
        sequence,
    )

    private fun phaseOf(id: InstanceId, now: MonotonicTime) = table.find(id, now)?.phase

    @Nested
    inner class `given a member that replied` {
        @Test
        fun `the age of its evidence is the time since the start of the exchange plus the reported age`() {
            table.mergeReplies(listOf(report(other, 1, age = 2.seconds)), begunAt = start)
            assertEquals(3.seconds, table.find(other, start + 1.seconds)?.evidenceAge)
        }

        @Test
        fun `it is no longer considered alive when its evidence is older than the suspicion timeout`() {
            table.mergeReplies(listOf(report(other, 1)), begunAt = start)
            assertEquals(listOf(other), table.peers(start + 5.seconds).map { it.id })
            assertTrue(table.peers(start + 6.seconds).isEmpty())
        }

        @Test
        fun `an older report relayed by another instance does not revert its phase`() {
            table.mergeReplies(listOf(report(other, 7, phase = InstancePhase.DRAINING)), start)
            table.mergeReplies(listOf(report(other, 6, age = 1.seconds)), start + 1.seconds)
            assertEquals(InstancePhase.DRAINING, phaseOf(other, start + 1.seconds))
        }

        @Test
        fun `a late report of an earlier incarnation does not replace it`() {
            table.mergeReplies(listOf(report(other, 1, incarnation = 2)), start)
            table.mergeReplies(listOf(report(other, 90, age = 9.seconds, incarnation = 1)), start + 1.seconds)
            assertEquals(Incarnation(2), table.find(other, start + 1.seconds)?.incarnation)
        }

        @Test
        fun `an unsolicited report changes its phase but is no evidence of when it was alive`() {
            table.mergeReplies(listOf(report(other, 1)), start)
            table.mergeUnsolicited(report(other, 2, phase = InstancePhase.DRAINING), start + 4.seconds)
            assertEquals(InstancePhase.DRAINING, phaseOf(other, start + 4.seconds))
            assertEquals(4.seconds, table.find(other, start + 4.seconds)?.evidenceAge)
        }
    }

    @Nested
    inner class `given the platform's eventually consistent list` {
        @Test
        fun `a listed instance is a heartbeat target before any report about it arrives`() {
            table.updateListing(listOf(listedInstance(self), listedInstance(other)), start)
            assertEquals(listOf(other), table.heartbeatTargets(start))
            assertEquals("127.0.0.1:2", table.innerAddress(other))
        }

        @Test
        fun `a live member is kept while the list does not show it yet`() {
            table.mergeUnsolicited(report(third, 1), start)
            table.updateListing(listOf(listedInstance(self)), start)
            assertEquals(listOf(third), table.heartbeatTargets(start + 1.seconds))
        }

        @Test
        fun `a member without a listing or recent evidence is removed`() {
            table.mergeReplies(listOf(report(third, 1)), start)
            table.updateListing(listOf(listedInstance(self)), start + 61.seconds)
            assertNull(table.find(third, start + 61.seconds))
        }

        @Test
        fun `an instance stays listed without any evidence`() {
            table.updateListing(listOf(listedInstance(self), listedInstance(other)), start)
            assertTrue(table.peers(start + 60.seconds).isEmpty())
            assertEquals(setOf(self, other), table.listed)
        }
    }

    @Nested
    inner class `given more members than a digest holds` {
        @Test
        fun `successive digests cover all members`() {
            val table = MembershipTable(self, MembershipTiming(digestSize = 32))
            val ids = (100 until 180).map { InstanceId("m$it") }
            table.mergeReplies(ids.map { report(it, 1) }, start)
            val digests = List(3) { table.digest(start).map { it.state.id } }
            assertTrue(digests.all { it.size == 32 })
            assertEquals(ids.toSet(), digests.flatten().toSet())
        }
    }
}
