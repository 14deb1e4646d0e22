package org.nutmegspring.gateway.store

import org.nutmegspring.currency.FeedStatement
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A statement of a relay, and when this instance asked for it. */
class AskedStatement(val statement: FeedStatement, val askedAt: MonotonicTime)

/**
 * How far a follower has come: it has every change that the store had accepted at [provenAt], and no object changed
 * after the revision [quietSince] up to [position].
 *
 * @property regainedAt when the store last answered again, null if it never failed
 */
class FeedProgress(
    val position: FeedPosition,
    val quietSince: Long,
    val provenAt: MonotonicTime,
    val regainedAt: MonotonicTime?,
) {
    /** Returns what this proves to another instance, by [ages]. */
    fun toStatement(ages: AgeClock) =
        FeedStatement(position.era, quietSince, position.revision, ages.ageOf(provenAt), regainedAt?.let(ages::ageOf))
}

/** What other instances tell a follower of its feed, and what it tells them. */
interface FeedWitness {
    /**
     * Waits for the next statement of a relay. Returns null at once while this instance waits at the store itself, and
     * also when no relay has answered.
     */
    suspend fun awaitStatement(): AskedStatement?

    /** Whether others have lately asked this instance what it knows. */
    val isRelay: Boolean

    /** Records that a statement proved nothing, so that another relay is asked next. */
    fun recordUnproved()

    /** Records that the follower calls the store. */
    fun recordCall()

    /** Records that the follower read a replica of the store, and whether that had what a relay had told of. */
    fun recordReplicaRead(isCaughtUp: Boolean)

    /** Records how far the follower has come. */
    fun recordProgress(progress: FeedProgress)

    /** A witness that knows nothing: the follower waits at the store. */
    object None : FeedWitness {
        override suspend fun awaitStatement(): AskedStatement? = null

        override val isRelay: Boolean = false

        override fun recordUnproved() = Unit

        override fun recordCall() = Unit

        override fun recordReplicaRead(isCaughtUp: Boolean) = Unit

        override fun recordProgress(progress: FeedProgress) = Unit
    }
}

/**
 * How a feed is followed.
 *
 * An answer without changes proves what was so when its call began. Until the next answer its age thus goes from one
 * wait to two.
 *
 * @property wait how long one call waits for changes; a shorter wait gives fresher evidence and costs more calls
 * @property relayWait the same at a relay, on whose evidence that of others is based
 * @property pause the time between an answer with changes and the next call, so that changes in quick succession come
 * with one answer
 * @property statementMargin the time for the answer of the store and the way from the relay
 * @property maximumBackoff the longest time between calls to a store that does not answer
 */
data class FeedPace(
    val wait: Duration,
    val relayWait: Duration = wait,
    val pause: Duration = Duration.ZERO,
    val statementMargin: Duration = DEFAULT_STATEMENT_MARGIN,
    val maximumBackoff: Duration = DEFAULT_MAXIMUM_BACKOFF,
) {
    /** The age up to which a statement of a relay that the store answers is expected. */
    val maximumStatementAge: Duration get() = relayWait * 2 + statementMargin

    private companion object {
        val DEFAULT_STATEMENT_MARGIN = 400.milliseconds

        /** Limits the charged calls to a store that is down, yet detects its recovery well within two seconds. */
        val DEFAULT_MAXIMUM_BACKOFF = 400.milliseconds
    }
}
