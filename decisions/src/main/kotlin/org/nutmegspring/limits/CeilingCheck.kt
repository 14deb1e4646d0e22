package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/**
 * Checks that the tokens received in every window of any length T stay within `burst + rate * T`.
 *
 * It is a leaky bucket that tracks the maximum excess over the rate among all windows ending now. The excess grows with
 * each received token and drains at the rate, never below zero. Every window is within the bound if and only if the
 * excess never exceeds the burst.
 */
class CeilingCheck(private var limit: TokenRate, private var updatedAt: MonotonicTime) {
    private var excess = 0.0

    /** The maximum excess over the rate observed so far, divided by the burst. */
    var maximumExcessRatio: Double = 0.0
        private set

    /** Records that [tokens] were received at [now] and returns whether all windows are within the bound. */
    fun record(tokens: Long, now: MonotonicTime): Boolean {
        drain(now)
        excess += tokens
        maximumExcessRatio = maxOf(maximumExcessRatio, excess / limit.burstTokens)
        return canReceive(0, now)
    }

    /** Returns whether all windows would stay within the bound if [tokens] more were received at [now]. */
    fun canReceive(tokens: Long, now: MonotonicTime): Boolean {
        drain(now)
        return excess + tokens <= limit.burstTokens * (1 + ROUNDING_TOLERANCE)
    }

    /** Applies the limit [newLimit] from [now] on. */
    fun changeLimit(newLimit: TokenRate, now: MonotonicTime) {
        drain(now)
        limit = newLimit
    }

    private fun drain(now: MonotonicTime) {
        val drained = limit.tokensPerSecond * (now - updatedAt).toDouble(DurationUnit.SECONDS)
        updatedAt = now
        excess = maxOf(0.0, excess - drained)
    }

    private companion object {
        /** Relative tolerance for floating-point rounding of the accumulated excess. */
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
