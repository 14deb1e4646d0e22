package org.nutmegspring.currency

import org.junit.jupiter.api.Nested
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FeedStatementSpec {
    private val era = StoreEra(1)
    private val start = MonotonicTime(10.seconds.inWholeNanoseconds)

    private fun judge(statement: FeedStatement, position: Long, waited: Duration = 10.milliseconds) =
        judgeStatement(
            statement,
            era,
            position,
            start,
            (start + waited).agesWithoutSuspension(),
            maximumAge = 1800.milliseconds,
        )

    @Nested
    inner class `given a relay that saw the last change at revision 100 and the store at 120` {
        private val statement = FeedStatement(era, quietSince = 100, position = 120, age = 300.milliseconds)

        @Test
        fun `a follower at the change or after it is current as of the call of the relay, counted from the question`() {
            val verdict = assertIs<StatementVerdict.Current>(judge(statement, position = 100))
            assertEquals(start - 300.milliseconds, verdict.provenAt)
            assertEquals(120, verdict.position)
        }

        @Test
        fun `a follower ahead of the relay is current and does not go back`() {
            assertEquals(130, assertIs<StatementVerdict.Current>(judge(statement, position = 130)).position)
        }

        @Test
        fun `a follower from before the change is behind`() {
            val verdict = assertIs<StatementVerdict.Behind>(judge(statement, position = 99))
            assertEquals(StatementVerdict.Behind(start - 300.milliseconds, era, revision = 100), verdict)
        }

        @Test
        fun `a follower has caught up once it has the last change, in the same era`() {
            val verdict = assertIs<StatementVerdict.Behind>(judge(statement, position = 99))
            assertTrue(verdict.isReachedAt(100, era))
            assertFalse(verdict.isReachedAt(99, era) || verdict.isReachedAt(100, StoreEra(2)))
        }

        @Test
        fun `a statement that has become too old on its way proves nothing`() {
            assertEquals(StatementVerdict.Unproved, judge(statement, position = 120, waited = 1600.milliseconds))
        }

        @Test
        fun `a statement of another era proves nothing, or that the follower is behind`() {
            assertEquals(StatementVerdict.Unproved, judge(statement.copy(era = StoreEra(0)), position = 120))
            val later = assertIs<StatementVerdict.Behind>(judge(statement.copy(era = StoreEra(2)), position = 500))
            assertFalse(later.isReachedAt(500, era))
        }
    }

    /**
     * A store with changes at random times, relays that follow it, and followers that ask relays and each other, and
     * read changes from a replica of the store that is up to two seconds behind.
     *
     * @param acceptsOutdated whether a follower takes what it reads from the replica for all that the relay told of
     */
    private class Fleet(seed: Int, private val judge: Judge, private val acceptsOutdated: Boolean = false) {
        private class Follower(var position: Long = 0, var quietSince: Long = 0, var provenAt: Long = 0)

        private val random = Random(seed)
        private val changes = mutableListOf<Pair<Long, Long>>()
        private val relays = List(3) { Follower() }
        private val followers = List(12) { Follower() }
        private val revisions = mutableListOf(0L to 0L)
        private var revision = 0L
        private var now = 0L
        var confirmations = 0
        var replicaReads = 0
        var violations = 0

        fun run() {
            while (now < 240_000) {
                now += random.nextLong(1, 20)
                // Other objects of the store change too, and move the revision on.
                if (random.nextInt(8) == 0) revision++
                if (random.nextInt(60) == 0) changes += now to ++revision
                revisions += now to revision
                if (random.nextInt(3) == 0) callStore(relays.random(random))
                askOne()
            }
        }

        /** The answer of the store shows its state at some time during the call. */
        private fun callStore(caller: Follower) {
            val startedAt = now
            now += random.nextLong(0, 8)
            val news = changes.filter { it.second > caller.position }
            caller.position = revision
            if (news.isNotEmpty()) caller.quietSince = revision
            caller.provenAt = startedAt
            now += random.nextLong(0, 30)
        }

        private fun askOne() {
            val asking = followers.random(random)
            val asked = if (random.nextInt(4) == 0) followers.random(random) else relays.random(random)
            val askedAt = now
            now += random.nextLong(0, 40)
            val age = (now - asked.provenAt).milliseconds
            val statement = FeedStatement(StoreEra(1), asked.quietSince, asked.position, age)
            // A frozen instance sends its answer, or reads one, long after it was composed.
            now += if (random.nextInt(10) == 0) random.nextLong(0, 3_000) else random.nextLong(0, 20)
            when (val verdict = judge(statement, asking.position, time(askedAt), time(now))) {
                is StatementVerdict.Current -> confirm(asking, verdict)
                is StatementVerdict.Behind -> readReplica(asking, verdict)
                StatementVerdict.Unproved -> Unit
            }
        }

        private fun readReplica(asking: Follower, verdict: StatementVerdict.Behind) {
            val replicaTime = now - random.nextLong(0, 2_000)
            val position = revisions.last { it.first <= maxOf(0, replicaTime) }.second
            if (!acceptsOutdated && !verdict.isReachedAt(position, StoreEra(1))) return callStore(asking)
            replicaReads++
            if (changes.any { it.second in (asking.position + 1)..position }) asking.quietSince = position
            asking.position = maxOf(asking.position, position)
            confirm(asking, StatementVerdict.Current(verdict.provenAt, asking.position))
        }

        private fun confirm(asking: Follower, verdict: StatementVerdict.Current) {
            confirmations++
            val provenAt = verdict.provenAt.nanoseconds / NANOSECONDS_PER_MILLISECOND
            if (changes.any { (at, change) -> at <= provenAt && change > asking.position }) violations++
            asking.position = verdict.position
            asking.provenAt = maxOf(asking.provenAt, provenAt)
        }

        private fun time(milliseconds: Long) = MonotonicTime(milliseconds * NANOSECONDS_PER_MILLISECOND)
    }

    @Nested
    inner class `given changes, relays and questions at random, late answers and hearsay` {
        private val real = Judge { statement, position, askedAt, now ->
            judgeStatement(statement, StoreEra(1), position, askedAt, now.agesWithoutSuspension(), 1800.milliseconds)
        }

        private fun play(judge: Judge, acceptsOutdated: Boolean = false): List<Fleet> =
            List(SEEDS) { seed -> Fleet(seed, judge, acceptsOutdated).also { it.run() } }

        @Test
        fun `a follower that is called current has every change accepted at the proven time`() {
            val fleets = play(real)
            assertEquals(0, fleets.sumOf { it.violations })
            assertTrue(fleets.all { it.confirmations > 100 }, "${fleets.map { it.confirmations }}")
        }

        @Test
        fun `followers read from the replica what it has, and a follower that takes older answers is caught`() {
            val fleets = play(real)
            assertTrue(fleets.all { it.replicaReads > 10 }, "${fleets.map { it.replicaReads }}")
            assertTrue(play(real, acceptsOutdated = true).sumOf { it.violations } > 0)
        }

        @Test
        fun `a judge that dates a statement by its arrival is caught`() {
            val byArrival = Judge { statement, position, _, now -> real(statement, position, now, now) }
            assertTrue(play(byArrival).sumOf { it.violations } > 0)
        }

        @Test
        fun `a judge that takes the age of hearsay for zero is caught`() {
            val fresh = Judge { statement, position, askedAt, now ->
                real(statement.copy(age = Duration.ZERO), position, askedAt, now)
            }
            assertTrue(play(fresh).sumOf { it.violations } > 0)
        }

        @Test
        fun `a judge that calls every follower at an older position current is caught`() {
            val blind = Judge { statement, position, askedAt, now ->
                real(statement.copy(quietSince = 0), position, askedAt, now)
            }
            assertTrue(play(blind).sumOf { it.violations } > 0)
        }
    }

    private fun interface Judge {
        operator fun invoke(
            statement: FeedStatement,
            position: Long,
            askedAt: MonotonicTime,
            now: MonotonicTime,
        ): StatementVerdict
    }

    private companion object {
        const val SEEDS = 50
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
