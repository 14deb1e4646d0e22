package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.limits.CeilingCheck
import org.nutmegspring.time.MonotonicTime

/**
 * Checks the ceiling of one organisation over every window, while its limit changes.
 *
 * Windows that begin before a change is in force everywhere are held to the greater of both limits, and later windows
 * to the new one.
 */
internal class CeilingWatch(private var limit: TokenRate, start: MonotonicTime) {
    private var spanning = CeilingCheck(limit, start)
    private var current: CeilingCheck? = null
    private var earlier = limit

    /** Records tokens received at [now] and returns whether every window keeps to the bound. */
    fun received(tokens: Long, now: MonotonicTime): Boolean {
        val spanningHolds = spanning.record(tokens, now)
        return (current?.record(tokens, now) ?: true) && spanningHolds
    }

    /** Returns whether every window would keep to the bound if [tokens] more were received at [now]. */
    fun admits(tokens: Long, now: MonotonicTime): Boolean =
        spanning.canReceive(tokens, now) && (current?.canReceive(tokens, now) ?: true)

    /** A change to [changed] was accepted. The change before it must be in force. */
    fun accepted(changed: TokenRate, now: MonotonicTime) {
        current?.let { spanning = it }
        current = null
        earlier = limit
        limit = changed
        spanning.changeLimit(greater(), now)
    }

    /** The last accepted change is in force everywhere, and all grants made before it have expired. */
    fun inForce(now: MonotonicTime) {
        spanning.changeLimit(TokenRate(limit.tokensPerSecond, greater().burstTokens), now)
        current = CeilingCheck(limit, now)
    }

    private fun greater() = TokenRate(
        tokensPerSecond = maxOf(limit.tokensPerSecond, earlier.tokensPerSecond),
        burstTokens = maxOf(limit.burstTokens, earlier.burstTokens),
    )
}
