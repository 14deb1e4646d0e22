package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Estimates the rate of a demand as an exponentially weighted moving average. */
internal class DemandEstimate(private var updated: MonotonicTime) {
    private var weighted = 0.0

    /** Adds a demand of [tokens] at [now]. */
    fun add(tokens: Long, now: MonotonicTime) {
        decay(now)
        weighted += tokens
    }

    /** Returns the demand that is expected within [horizon]. */
    fun within(horizon: Duration, now: MonotonicTime): Long {
        decay(now)
        return (weighted * (horizon / timeConstant)).toLong()
    }

    private fun decay(now: MonotonicTime) {
        if (now <= updated) return
        weighted *= exp(-((now - updated) / timeConstant))
        updated = now
    }

    private companion object {
        val timeConstant = 1.seconds
    }
}
