package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Estimates token demand from an exponentially decaying sum of past demand. */
internal class DemandEstimate(private var updatedAt: MonotonicTime) {
    private var decayedSum = 0.0

    /** Records a demand of [tokens] at [now]. */
    fun record(tokens: Long, now: MonotonicTime) {
        decay(now)
        decayedSum += tokens
    }

    /** Returns the demand, in tokens, expected within [horizon]. */
    fun expectedWithin(horizon: Duration, now: MonotonicTime): Long {
        decay(now)
        return (decayedSum * (horizon / timeConstant)).toLong()
    }

    private fun decay(now: MonotonicTime) {
        if (now <= updatedAt) return
        decayedSum *= exp(-((now - updatedAt) / timeConstant))
        updatedAt = now
    }

    private companion object {
        val timeConstant = 1.seconds
    }
}
