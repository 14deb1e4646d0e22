package org.nutmegspring.gateway.store

import arrow.core.Either
import kotlinx.coroutines.delay
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes what a [FeedFollower] finds out. Times are those at which the calls began. */
interface FeedListener<T> {
    /** Everything was listed. [regainedAt] is when the store answered again, null when it had not been away. */
    fun listed(listing: Listing<T>, began: MonotonicTime, regainedAt: MonotonicTime?)

    /** [events] happened, none when nothing changed. [regainedAt] is as for [listed]. */
    fun changed(events: List<FeedEvent<T>>, began: MonotonicTime, regainedAt: MonotonicTime?)

    /** The store did not answer a call. */
    fun lost(failure: StoreFailure)

    /** The store answers again. */
    fun regained()
}

/**
 * Keeps up with one feed: lists it, waits for changes, and lists it again when the history is gone.
 *
 * @param wait how long one call waits for changes; a shorter one gives younger evidence and costs more calls
 */
class FeedFollower<T>(
    private val feed: StoreFeed<T>,
    private val listener: FeedListener<T>,
    private val clock: MonotonicClock,
    private val wait: Duration,
    private val random: Random,
) {
    private var pause = Duration.ZERO
    private var regainedAt: MonotonicTime? = null
    private var isLost = false

    /** Follows the feed until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        var position: Long? = null
        while (true) {
            val since = position
            position = if (since == null) list() else changes(since)
        }
    }

    private suspend fun list(): Long? {
        val began = clock.now()
        return when (val listed = feed.list(LIST_TIMEOUT)) {
            is Either.Right -> {
                answered()
                listener.listed(listed.value, began, regainedAt)
                listed.value.position
            }

            is Either.Left -> {
                failed(listed.value)
                null
            }
        }
    }

    /** Returns the next position, or null when the feed has to be listed again. */
    private suspend fun changes(position: Long): Long? {
        val began = clock.now()
        return when (val waited = feed.changes(position, wait)) {
            is Either.Right -> {
                when (val changes = waited.value) {
                    is FeedChanges.Events -> {
                        answered()
                        listener.changed(changes.events, began, regainedAt)
                        changes.position
                    }

                    FeedChanges.HistoryGone -> {
                        answered()
                        null
                    }
                }
            }

            is Either.Left -> {
                failed(waited.value)
                position
            }
        }
    }

    private fun answered() {
        pause = Duration.ZERO
        if (!isLost) return
        isLost = false
        regainedAt = clock.now()
        listener.regained()
    }

    private suspend fun failed(failure: StoreFailure) {
        if (!isLost) {
            isLost = true
            listener.lost(failure)
        }
        pause = (pause * 2).coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE)
        delay(pause * random.nextDouble(LEAST_JITTER, 1.0))
    }

    private companion object {
        /** Many answers of a slow store; a lost one is noticed by then. */
        val LIST_TIMEOUT = 2.seconds
        val SHORTEST_PAUSE = 50.milliseconds

        /** Calls to a store that is down are paid for; its return has to be noticed well within two seconds. */
        val LONGEST_PAUSE = 400.milliseconds
        const val LEAST_JITTER = 0.5
    }
}
