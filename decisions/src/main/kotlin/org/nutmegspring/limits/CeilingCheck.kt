package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/**
 * Checks that the tokens received in every window of any length T stay within `burst + rate * T`.
 *
 * It tracks the greatest excess over the rate of all windows that end now, which is a leaky bucket: the excess grows
 * by what is received and falls at the rate, never below zero. All windows keep to the bound exactly when the excess
 * never passes the burst.
 */
class CeilingCheck(private var limit: TokenRate, private var updated: MonotonicTime) {
    private var excess = 0.0

    /** The greatest excess over the rate that was seen, divided by the burst. */
    var greatestShare: Double = 0.0
        private set

    /** Records that [tokens] were received at [now] and returns whether all windows keep to the bound. */
    fun received(tokens: Long, now: MonotonicTime): Boolean {
        leak(now)
        excess += tokens
        greatestShare = maxOf(greatestShare, excess / limit.burstTokens)
        return admits(0, now)
    }

    /** Returns whether all windows would keep to the bound if [tokens] more were received at [now]. */
    fun admits(tokens: Long, now: MonotonicTime): Boolean {
        leak(now)
        return excess + tokens <= limit.burstTokens * (1 + ROUNDING_TOLERANCE)
    }

    /** Changes the limit from [now] on. */
    fun change(changed: TokenRate, now: MonotonicTime) {
        leak(now)
        limit = changed
    }

    private fun leak(now: MonotonicTime) {
        val leaked = limit.tokensPerSecond * (now - updated).toDouble(DurationUnit.SECONDS)
        updated = now
        excess = maxOf(0.0, excess - leaked)
    }

    private companion object {
        /** Covers the rounding of sums in floating point. */
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
