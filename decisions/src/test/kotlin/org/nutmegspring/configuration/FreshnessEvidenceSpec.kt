package org.nutmegspring.configuration

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FreshnessEvidenceSpec {
    private val instances = (1..9).map { InstanceId("i$it") }
    private val timing = FreshnessTiming()
    private val evidence = FreshnessEvidence(instances.first(), timing, MonotonicTime.ZERO)
    private val applied = Revision(5)

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    private fun vote(peer: InstanceId, revision: Revision, sentAt: Duration, age: Duration? = null) =
        evidence.recordPeerStatement(PeerStatement(peer, revision, age, canVote = true), at(sentAt), applied)

    private fun countVotes(now: Duration) = evidence.countVotes(instances.toSet(), applied, at(now))

    @Nested
    inner class `a read of the head` {
        @Test
        fun `is evidence as of the time at which it was sent`() {
            evidence.recordHeadRead(applied, at(1.seconds), applied)
            assertTrue(evidence.canAdmit(at(5.seconds)))
            assertFalse(evidence.canAdmit(at(5001.milliseconds)))
        }

        @Test
        fun `is no evidence until its revision is applied`() {
            evidence.recordHeadRead(Revision(6), at(1.seconds), applied)
            assertNull(evidence.age(at(1.seconds)))
            evidence.recordApplied(Revision(6))
            assertEquals(1.seconds, evidence.age(at(2.seconds)))
        }
    }

    @Nested
    inner class `a statement of a peer` {
        @Test
        fun `transfers its evidence with its age`() {
            vote(instances[1], applied, sentAt = 10.seconds, age = 3.seconds)
            assertEquals(4.seconds, evidence.age(at(11.seconds)))
        }

        @Test
        fun `without evidence gives no evidence by itself`() {
            vote(instances[1], applied, sentAt = 10.seconds)
            countVotes(10.seconds)
            assertNull(evidence.age(at(10.seconds)))
        }
    }

    @Nested
    inner class `a quorum` {
        @Test
        fun `of two thirds of the instances keeps an instance current without the store`() {
            evidence.recordHeadRead(applied, at(1.seconds), applied)
            (1..5).forEach { vote(instances[it], applied, sentAt = 10.seconds) }
            countVotes(11.seconds)
            assertEquals(1.seconds, evidence.age(at(11.seconds)))
        }

        @Test
        fun `does not count the vote of an instance that holds a newer revision`() {
            evidence.recordHeadRead(applied, at(1.seconds), applied)
            (1..4).forEach { vote(instances[it], applied, sentAt = 10.seconds) }
            vote(instances[5], Revision(6), sentAt = 10.seconds)
            countVotes(11.seconds)
            assertFalse(evidence.canAdmit(at(11.seconds)))
        }

        @Test
        fun `gives a restarted instance no evidence from requests sent within the acceptance window`() {
            (1..6).forEach { vote(instances[it], applied, sentAt = 2.seconds) }
            countVotes(2.seconds)
            assertNull(evidence.age(at(2.seconds)))
            (1..6).forEach { vote(instances[it], applied, sentAt = 3.seconds) }
            countVotes(3.seconds)
            assertEquals(Duration.ZERO, evidence.age(at(3.seconds)))
        }

        @Test
        fun `intersects any other quorum when a fifth of the lists differs`() {
            (1..1000).forEach { listed ->
                val union = listed + listed / 5
                assertTrue(2 * quorumSize(listed) > union, "$listed")
                assertTrue(quorumSize(listed) <= listed, "$listed")
            }
        }
    }

    @Nested
    inner class `observers` {
        @Test
        fun `are at most two in each data centre`() {
            val members = instances.withIndex().associate { (index, id) -> id to DataCentreId("d${index % 3}") }
            val chosen = selectObservers(members).groupingBy { members.getValue(it) }.eachCount()
            assertEquals(setOf(2), chosen.values.toSet())
            assertEquals(3, chosen.size)
        }
    }
}
