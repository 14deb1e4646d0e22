package org.nutmegspring.admission

import org.nutmegspring.time.MonotonicTime
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Spreads the times after which refused callers may return.
 *
 * Load pattern: a burst of two to three times the usual rate, of which many requests are refused within a second for
 * the same queues. Callers that all return when these are short enough make the next burst. Each is instead given a
 * turn after the one refused before, as far apart as the engines need for the requests, and less urgent callers after
 * more urgent ones. Each instance spreads its own callers; the time between turns accounts for the others.
 */
class ReturnSchedule {
    private val lastTurns = TreeMap<Int, MonotonicTime>()

    /**
     * Returns when a caller that is refused at [now] may return.
     *
     * @param earliest the time until the queues are short enough for one request
     * @param turn the time between the requests of this instance that the engines can process
     */
    fun book(urgency: Int, earliest: Duration, turn: Duration, now: MonotonicTime): Duration {
        val previous = lastTurns.headMap(urgency, true).values.maxOrNull()
        val at = maxOf(now + earliest, previous?.let { it + turn } ?: now)
        val latest = now + maxOf(earliest, MAXIMUM_RETRY_AFTER)
        val booked = minOf(at, latest)
        lastTurns[urgency] = booked
        return booked - now
    }

    private companion object {
        /** Callers wait about this long in all; one that is told more does not come back. */
        val MAXIMUM_RETRY_AFTER = 2.seconds
    }
}
