package org.nutmegspring.currency

import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks when this process last had proof that what it knows from the store is the newest.
 *
 * An answered call to the store proves that nothing newer had been accepted when the call started. An unanswered call
 * proves nothing.
 */
class FreshnessEvidence {
    private var confirmedAt: MonotonicTime? = null

    /** Records that a call started at [callStartedAt] returned the newest state. */
    fun recordConfirmation(callStartedAt: MonotonicTime) {
        val last = confirmedAt
        if (last == null || callStartedAt > last) confirmedAt = callStartedAt
    }

    /** Forgets all confirmations, which turned out to be of an older state. */
    fun clear() {
        confirmedAt = null
    }

    /** Returns the age of the last confirmation by [ages], or null when there is none. */
    fun age(ages: AgeClock): Duration? = confirmedAt?.let(ages::ageOf)

    /** Whether the last confirmation is less than [limit] old by [ages]. */
    fun isYoungerThan(limit: Duration, ages: AgeClock): Boolean = age(ages)?.let { it < limit } ?: false
}
