package org.nutmegspring.currency

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * How long this process has known that its configuration is the newest.
 *
 * A call to the store proves that nothing newer had been accepted when the call began. A call that was not answered
 * proves nothing.
 */
class ConfigurationEvidence {
    private var provedAt: MonotonicTime? = null

    /** Records that a call which began at [began] showed the newest configuration. */
    fun proved(began: MonotonicTime) {
        val last = provedAt
        if (last == null || began > last) provedAt = began
    }

    /** Returns the age of the evidence at [now], or null when there is none. */
    fun age(now: MonotonicTime): Duration? = provedAt?.let { now - it }

    /** Whether the configuration was the newest at most [limit] before [now]. */
    fun isYoungerThan(limit: Duration, now: MonotonicTime): Boolean = age(now)?.let { it < limit } ?: false
}
