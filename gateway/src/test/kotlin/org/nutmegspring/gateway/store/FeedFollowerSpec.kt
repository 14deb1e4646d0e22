package org.nutmegspring.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.nutmegspring.currency.FeedStatement
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class FeedFollowerSpec {
    private val clock = MonotonicClock { MonotonicTime.ZERO }
    private val ages = clock.agesWithoutSuspension()

    private val down = StoreFailure.Unanswered(Failure(Step.READ_OBJECT, Peer.PLATFORM, Effect.UNKNOWN, "silent"))

    /** Returns the answers set by the test and records the calls. */
    private inner class ScriptedFeed : StoreFeed<String> {
        val calls = mutableListOf<String>()
        var isDown = false
        var era = StoreEra(1)
        val answers = ArrayDeque<FeedChanges<String>>()
        var replica: FeedChanges<String>? = null

        override suspend fun list(timeout: Duration): Either<StoreFailure, Listing<String>> {
            calls += "list"
            return if (isDown) down.left() else Listing(listOf(FeedEntry("a", "1")), FeedPosition(10, era)).right()
        }

        override suspend fun awaitChanges(
            position: FeedPosition,
            wait: Duration,
        ): Either<StoreFailure, FeedChanges<String>> {
            calls += "changes after ${position.revision}"
            if (position.era != era) return StoreFailure.EraChanged(position.era).left()
            if (isDown) return down.left()
            return answers.removeFirstOrNull()?.right() ?: CompletableDeferred<Nothing>().await()
        }

        override suspend fun readReplica(position: FeedPosition): Either<StoreFailure, FeedChanges<String>> {
            calls += "replica after ${position.revision}"
            return replica?.right() ?: down.left()
        }
    }

    private class Recorder : FeedListener<String> {
        val notifications = mutableListOf<String>()

        override fun onListed(listing: Listing<String>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?) {
            notifications += "listed"
        }

        override fun onChanged(
            events: List<FeedEvent<String>>,
            callStartedAt: MonotonicTime,
            regainedAt: MonotonicTime?,
        ) {
            notifications += "changed ${events.size}"
        }

        override fun onLost(failure: StoreFailure) {
            notifications += "lost"
        }

        override fun onRegained() {
            notifications += "regained"
        }
    }

    @Nested
    inner class `while the store answers` {
        @Test
        fun `changes are followed from the last position`() = runTest {
            val feed = ScriptedFeed()
            val recorder = Recorder()
            feed.answers += FeedChanges.Events(listOf(FeedEvent.Removed("a")), FeedPosition(12, StoreEra(1)))
            backgroundScope.launch {
                FeedFollower(feed, recorder, clock, ages, FeedPace(1.seconds), Random(1)).run()
            }
            runCurrent()
            assertEquals(listOf("list", "changes after 10", "changes after 12"), feed.calls)
            assertEquals(listOf("listed", "changed 1"), recorder.notifications)
        }

        @Test
        fun `the feed is listed again when the history has expired`() = runTest {
            val feed = ScriptedFeed()
            feed.answers += FeedChanges.HistoryExpired
            backgroundScope.launch {
                FeedFollower(feed, Recorder(), clock, ages, FeedPace(1.seconds), Random(1)).run()
            }
            runCurrent()
            assertEquals(listOf("list", "changes after 10", "list", "changes after 10"), feed.calls)
        }
    }

    @Nested
    inner class `when a relay tells of changes up to revision 20` {
        private val feed = ScriptedFeed()
        private val recorder = Recorder()
        private val toldOnce = object : FeedWitness by FeedWitness.None {
            private val statement = FeedStatement(StoreEra(1), quietSince = 20, position = 25, age = Duration.ZERO)
            private var isTold = false

            override suspend fun awaitStatement(): AskedStatement? {
                if (isTold) CompletableDeferred<Nothing>().await()
                isTold = true
                return AskedStatement(statement, MonotonicTime.ZERO)
            }
        }

        private fun events(revision: Long) =
            FeedChanges.Events(listOf(FeedEvent.Removed("a")), FeedPosition(revision, StoreEra(1)))

        private fun TestScope.follow() {
            val follower = FeedFollower(
                feed,
                recorder,
                clock,
                ages,
                FeedPace(1.seconds),
                Random(1),
                toldOnce,
            )
            backgroundScope.launch { follower.run() }
            runCurrent()
        }

        @Test
        fun `a replica that has them is enough`() = runTest {
            feed.replica = events(21)
            follow()
            assertEquals(listOf("list", "replica after 10"), feed.calls)
            assertEquals(listOf("listed", "changed 1"), recorder.notifications)
        }

        @Test
        fun `the store is called when the replica is behind`() = runTest {
            feed.replica = events(19)
            feed.answers += events(20)
            follow()
            assertEquals(listOf("list", "replica after 10", "changes after 10"), feed.calls)
            assertEquals(listOf("listed", "changed 1"), recorder.notifications)
        }

        @Test
        fun `the store is called when the replica does not answer`() = runTest {
            follow()
            assertEquals(listOf("list", "replica after 10", "changes after 10"), feed.calls)
        }
    }

    @Nested
    inner class `while the store is down` {
        @Test
        fun `calls back off, the loss is reported once and the recovery is detected within half a second`() = runTest {
            val feed = ScriptedFeed().apply { isDown = true }
            val recorder = Recorder()
            backgroundScope.launch {
                FeedFollower(feed, recorder, clock, ages, FeedPace(1.seconds), Random(1)).run()
            }
            testScheduler.advanceTimeBy(10.seconds)
            assertTrue(feed.calls.size < 60, "${feed.calls.size} calls in 10 s")
            assertEquals(listOf("lost"), recorder.notifications)
            feed.isDown = false
            testScheduler.advanceTimeBy(500.milliseconds)
            assertEquals(listOf("lost", "regained", "listed"), recorder.notifications)
        }
    }

    @Nested
    inner class `when the store has returned from an older copy` {
        @Test
        fun `the feed is listed again, and entries count as lost in an outage`() = runTest {
            val feed = ScriptedFeed()
            val regained = mutableListOf<MonotonicTime?>()
            val listener = object : FeedListener<String> by Recorder() {
                override fun onListed(
                    listing: Listing<String>,
                    callStartedAt: MonotonicTime,
                    regainedAt: MonotonicTime?,
                ) {
                    regained += regainedAt
                    if (regained.size == 1) feed.era = StoreEra(2)
                }
            }
            backgroundScope.launch {
                FeedFollower(feed, listener, { MonotonicTime(7) }, ages, FeedPace(1.seconds), Random(1)).run()
            }
            testScheduler.advanceTimeBy(1.seconds)
            assertEquals(listOf("list", "changes after 10", "list", "changes after 10"), feed.calls)
            assertEquals(listOf(null, MonotonicTime(7)), regained)
        }
    }
}
