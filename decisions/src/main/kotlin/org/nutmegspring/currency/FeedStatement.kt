package org.nutmegspring.currency

import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * What an instance that follows a feed of the store can tell another one: no object of the feed changed after the
 * revision [quietSince] up to the revision [position].
 *
 * @property era the era of both revisions
 * @property age the time since the call to the store began that showed this
 * @property regainedAge the time since the store last answered again after a failure, null if it never failed
 */
data class FeedStatement(
    val era: StoreEra,
    val quietSince: Long,
    val position: Long,
    val age: Duration,
    val regainedAge: Duration? = null,
)

/** What a [FeedStatement] means for a follower of the same feed. */
sealed interface StatementVerdict {
    /** The follower has every change that the store had accepted at [provenAt], and may go on from [position]. */
    data class Current(val provenAt: MonotonicTime, val position: Long) : StatementVerdict

    /**
     * The store has changes that the follower does not have, or may have. Once the follower has every change up to
     * [revision] of [era], it has all that the store had accepted at [provenAt].
     */
    data class Behind(val provenAt: MonotonicTime, val era: StoreEra, val revision: Long) : StatementVerdict {
        /** Whether a follower that has every change up to [position] has all that the store had accepted then. */
        fun isReachedAt(position: Long, ofEra: StoreEra): Boolean = ofEra == era && position >= revision
    }

    /** The statement proves nothing: it is too old, or of an era that has ended. */
    data object Unproved : StatementVerdict
}

/**
 * Judges [statement] for a follower at the revision [position] of [era], which asked for it at [askedAt].
 *
 * The time that the answer took is not known, so its age is counted from the question: what the statement shows then
 * appears older than it is, never younger. A follower that is ahead of the statement is current as well, since the
 * store had not passed the revision [FeedStatement.position] when the call began that showed it.
 *
 * @param ages measures the age of what the statement proves
 * @param maximumAge above the time between two answers of the store to an instance that follows the feed by itself
 */
fun judgeStatement(
    statement: FeedStatement,
    era: StoreEra,
    position: Long,
    askedAt: MonotonicTime,
    ages: AgeClock,
    maximumAge: Duration,
): StatementVerdict {
    val provenAt = askedAt - statement.age
    return when {
        ages.ageOf(provenAt) > maximumAge || statement.era < era -> {
            StatementVerdict.Unproved
        }

        statement.era > era || position < statement.quietSince -> {
            StatementVerdict.Behind(provenAt, statement.era, statement.quietSince)
        }

        else -> {
            StatementVerdict.Current(provenAt, maxOf(position, statement.position))
        }
    }
}
