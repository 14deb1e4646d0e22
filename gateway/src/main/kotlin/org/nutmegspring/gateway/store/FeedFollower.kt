package org.nutmegspring.gateway.store

import arrow.core.Either
import kotlinx.coroutines.delay
import org.nutmegspring.currency.StatementVerdict
import org.nutmegspring.currency.judgeStatement
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the changes of a feed from a [FeedFollower]. `callStartedAt` is when the call to the store was made. */
interface FeedListener<T> {
    /**
     * All objects were listed. [regainedAt] is when the store last answered again, or was first seen in a new era; null
     * if neither has happened.
     */
    fun onListed(listing: Listing<T>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?)

    /** A wait for changes ended with [events], empty when nothing changed. [regainedAt] is as for [onListed]. */
    fun onChanged(events: List<FeedEvent<T>>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?)

    /** A call failed for the first time since the store last answered. */
    fun onLost(failure: StoreFailure)

    /** The store answered for the first time after [onLost]. */
    fun onRegained()
}

/**
 * Follows a feed: lists it, then waits for changes, and lists it again when the store no longer has the history or has
 * returned from an older copy.
 *
 * While a relay states that nothing has changed, no call to the store is made.
 */
class FeedFollower<T>(
    private val feed: StoreFeed<T>,
    private val listener: FeedListener<T>,
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val pace: FeedPace,
    private val random: Random,
    private val witness: FeedWitness = FeedWitness.None,
) {
    private var backoff = Duration.ZERO
    private var regainedAt: MonotonicTime? = null
    private var isLost = false
    private var quietSince = 0L

    /** Follows the feed until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        var position: FeedPosition? = null
        while (true) {
            val since = position
            position = if (since == null) list() else follow(since)
        }
    }

    /** Waits for news from a relay or from the store. Returns as [followChanges]. */
    private suspend fun follow(position: FeedPosition): FeedPosition? {
        val asked = witness.awaitStatement() ?: return followChanges(position, ownWait())
        val maximumAge = pace.maximumStatementAge
        val verdict =
            judgeStatement(asked.statement, position.era, position.revision, asked.askedAt, ages, maximumAge)
        return when (verdict) {
            is StatementVerdict.Current -> {
                applyStatement(position, asked, verdict)
            }

            is StatementVerdict.Behind -> {
                readReplica(position, asked, verdict) ?: followChanges(position, minOf(BEHIND_WAIT, pace.wait))
            }

            StatementVerdict.Unproved -> {
                witness.recordUnproved()
                followChanges(position, ownWait())
            }
        }
    }

    private fun ownWait(): Duration = if (witness.isRelay) pace.relayWait else pace.wait

    /**
     * Reads the changes that a relay has told of from a replica of the store. Returns null if the replica does not have
     * all of them. What is proved, and since when, comes from the relay: a replica proves nothing.
     */
    private suspend fun readReplica(
        position: FeedPosition,
        asked: AskedStatement,
        verdict: StatementVerdict.Behind,
    ): FeedPosition? {
        if (verdict.era != position.era) return null
        val changes = feed.readReplica(position).getOrNull() as? FeedChanges.Events ?: return null
        val isCaughtUp = verdict.isReachedAt(changes.position.revision, changes.position.era)
        witness.recordReplicaRead(isCaughtUp)
        if (!isCaughtUp) return null
        recordAnswer()
        recordRegained(asked)
        listener.onChanged(changes.events, verdict.provenAt, regainedAt)
        if (changes.events.isNotEmpty()) quietSince = changes.position.revision
        recordProgress(changes.position, verdict.provenAt)
        return changes.position
    }

    private fun recordRegained(asked: AskedStatement) {
        val age = asked.statement.regainedAge ?: return
        val regainedThere = asked.askedAt - age
        regainedAt = maxOf(regainedAt ?: regainedThere, regainedThere)
    }

    private fun applyStatement(
        position: FeedPosition,
        asked: AskedStatement,
        verdict: StatementVerdict.Current,
    ): FeedPosition {
        recordAnswer()
        recordRegained(asked)
        listener.onChanged(emptyList(), verdict.provenAt, regainedAt)
        return FeedPosition(verdict.position, position.era).also { recordProgress(it, verdict.provenAt) }
    }

    private fun recordProgress(position: FeedPosition, provenAt: MonotonicTime) =
        witness.recordProgress(FeedProgress(position, quietSince, provenAt, regainedAt))

    /** Lists the feed. Returns the position of the list, or null on a failure. */
    private suspend fun list(): FeedPosition? {
        val callStartedAt = clock.now()
        witness.recordCall()
        return when (val listed = feed.list(LIST_TIMEOUT)) {
            is Either.Right -> {
                recordAnswer()
                listener.onListed(listed.value, callStartedAt, regainedAt)
                val position = listed.value.position
                quietSince = position.revision
                recordProgress(position, callStartedAt)
                position
            }

            is Either.Left -> {
                val failure = listed.value
                if (failure is StoreFailure.EraChanged) handleNewEra() else handleFailure(failure)
                null
            }
        }
    }

    /** Waits for changes once. Returns the next position, or null when the feed must be listed again. */
    private suspend fun followChanges(position: FeedPosition, wait: Duration): FeedPosition? {
        val callStartedAt = clock.now()
        witness.recordCall()
        return when (val waited = feed.awaitChanges(position, wait)) {
            is Either.Right -> {
                when (val changes = waited.value) {
                    is FeedChanges.Events -> {
                        recordAnswer()
                        listener.onChanged(changes.events, callStartedAt, regainedAt)
                        if (changes.events.isNotEmpty()) quietSince = changes.position.revision
                        recordProgress(changes.position, callStartedAt)
                        if (changes.events.isNotEmpty()) delay(pace.pause)
                        changes.position
                    }

                    FeedChanges.HistoryExpired -> {
                        recordAnswer()
                        null
                    }
                }
            }

            is Either.Left -> {
                val failure = waited.value
                if (failure is StoreFailure.EraChanged) handleNewEra() else handleFailure(failure)
                position.takeIf { failure !is StoreFailure.EraChanged }
            }
        }
    }

    /** The store answers, but it may have lost entries just as in an outage. */
    private suspend fun handleNewEra() {
        recordAnswer()
        regainedAt = clock.now()
        delay(MINIMUM_BACKOFF * random.nextDouble(MINIMUM_JITTER, 1.0))
    }

    private fun recordAnswer() {
        backoff = Duration.ZERO
        if (!isLost) return
        isLost = false
        regainedAt = clock.now()
        listener.onRegained()
    }

    private suspend fun handleFailure(failure: StoreFailure) {
        if (!isLost) {
            isLost = true
            listener.onLost(failure)
        }
        backoff = (backoff * 2).coerceIn(MINIMUM_BACKOFF, pace.maximumBackoff)
        delay(backoff * random.nextDouble(MINIMUM_JITTER, 1.0))
    }

    private companion object {
        /** Several times what a slow store needs to answer, yet short enough to detect a store that does not answer. */
        val LIST_TIMEOUT = 2.seconds
        val MINIMUM_BACKOFF = 50.milliseconds
        const val MINIMUM_JITTER = 0.5

        /** The changes are there already; the wait is for those that the relay only may have seen. */
        val BEHIND_WAIT = 50.milliseconds
    }
}
