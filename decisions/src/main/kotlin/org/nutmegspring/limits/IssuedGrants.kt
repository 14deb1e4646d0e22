package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime

/**
 * The grants that a holder issued from [bucket].
 *
 * The tokens of a grant stay reserved in the bucket until its receiver reports what it did not spend, or until the
 * grant has certainly expired at the receiver ([LimitSettings.holdingTime]), in which case all of it counts as spent.
 * Unspent tokens reported after that are refunded. Duplicate reports have no effect.
 */
internal class IssuedGrants(private val settings: LimitSettings, private val bucket: TokenBucket) {
    private val open = LinkedHashMap<GrantKey, OpenGrant>()
    private val closed = LinkedHashMap<GrantKey, ClosedGrant>()

    /** Whether there is neither an open grant nor a closed one that may still be refunded. */
    fun isEmpty(now: MonotonicTime): Boolean {
        expire(now)
        return open.isEmpty() && closed.isEmpty()
    }

    /**
     * Issues a grant of up to [needed] tokens, plus up to [wanted] of what then remains above half of the capacity.
     *
     * Returns the number of tokens granted. A duplicate request gets the same number while the grant is open, and 0
     * while a closed grant of which tokens were spent is retained.
     */
    fun issue(key: GrantKey, needed: Long, wanted: Long, now: MonotonicTime): Long {
        expire(now)
        open[key]?.let { return it.tokens }
        if (key in closed) return 0
        val available = bucket.available(now)
        val prefetchable = (available - needed - (bucket.rate.capacity / 2).toLong()).coerceAtLeast(0)
        val tokens = minOf(available, needed) + minOf(prefetchable, wanted)
        if (tokens <= 0) return 0
        bucket.reserve(tokens, now)
        open[key] = OpenGrant(tokens, now + settings.holdingTime)
        return tokens
    }

    /** Reclaims tokens of the grant [key], of which [unspent] in total were reported as unspent so far. */
    fun reclaim(key: GrantKey, unspent: Long, now: MonotonicTime) {
        expire(now)
        open.remove(key)?.let { return close(key, it.tokens, minOf(unspent, it.tokens), now) }
        val grant = closed[key] ?: return
        val newlyUnspent = minOf(unspent, grant.tokens) - grant.unspent
        if (newlyUnspent <= 0) return
        grant.unspent += newlyUnspent
        bucket.refund(newlyUnspent, grant.mark, now)
    }

    /** Closes the open grants that have expired and discards the closed ones that can no longer be refunded. */
    fun expire(now: MonotonicTime) {
        while (open.isNotEmpty()) {
            val (key, grant) = open.entries.first()
            if (grant.expiresAt > now) break
            open.remove(key)
            close(key, grant.tokens, 0, now)
        }
        while (closed.isNotEmpty()) {
            val (key, grant) = closed.entries.first()
            if (grant.discardAt > now) break
            closed.remove(key)
        }
    }

    private fun close(key: GrantKey, tokens: Long, unspent: Long, now: MonotonicTime) {
        val mark = bucket.release(tokens, unspent, now)
        if (unspent < tokens) closed[key] = ClosedGrant(tokens, unspent, mark, now + settings.refundRetention)
    }

    private class OpenGrant(val tokens: Long, val expiresAt: MonotonicTime)

    private class ClosedGrant(val tokens: Long, var unspent: Long, val mark: HistoryMark, val discardAt: MonotonicTime)
}
