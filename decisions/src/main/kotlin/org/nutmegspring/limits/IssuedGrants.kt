package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime

/**
 * The grants that a holder issued out of [bucket].
 *
 * A grant stays reserved in the bucket until its receiver reports what it did not spend, or until the receiver's
 * lifetime of the grant has surely passed; then all of it counts as spent. Reports that come later are refunds.
 * Repeated asks and reports have no further effect.
 */
internal class IssuedGrants(private val settings: LimitSettings, private val bucket: TokenBucket) {
    private val open = LinkedHashMap<GrantKey, Issued>()
    private val ended = LinkedHashMap<GrantKey, Ended>()

    /** Whether no grant is remembered. */
    fun isEmpty(now: MonotonicTime): Boolean {
        expire(now)
        return open.isEmpty() && ended.isEmpty()
    }

    /** Grants up to [needed] tokens, and up to [wanted] more while more than half of the capacity is left. */
    fun issue(key: GrantKey, needed: Long, wanted: Long, now: MonotonicTime): Long {
        expire(now)
        open[key]?.let { return it.tokens }
        if (key in ended) return 0
        val available = bucket.available(now)
        val plenty = (available - needed - (bucket.rate.capacity / 2).toLong()).coerceAtLeast(0)
        val tokens = minOf(available, needed) + minOf(plenty, wanted)
        if (tokens <= 0) return 0
        bucket.reserve(tokens, now)
        open[key] = Issued(tokens, now + settings.holdingTime)
        return tokens
    }

    /** Takes back [unspent] tokens in all of the grant [key]. */
    fun takeBack(key: GrantKey, unspent: Long, now: MonotonicTime) {
        expire(now)
        open.remove(key)?.let { return end(key, it.tokens, minOf(unspent, it.tokens), now) }
        val grant = ended[key] ?: return
        val further = minOf(unspent, grant.tokens) - grant.unspent
        if (further <= 0) return
        grant.unspent += further
        bucket.refund(further, grant.mark, now)
    }

    /** Ends the grants whose time has passed. */
    fun expire(now: MonotonicTime) {
        while (open.isNotEmpty()) {
            val (key, grant) = open.entries.first()
            if (grant.expires > now) break
            open.remove(key)
            end(key, grant.tokens, 0, now)
        }
        while (ended.isNotEmpty()) {
            val (key, grant) = ended.entries.first()
            if (grant.forgottenAt > now) break
            ended.remove(key)
        }
    }

    private fun end(key: GrantKey, tokens: Long, unspent: Long, now: MonotonicTime) {
        val mark = bucket.release(tokens, unspent, now)
        if (unspent < tokens) ended[key] = Ended(tokens, unspent, mark, now + settings.refundRetention)
    }

    private class Issued(val tokens: Long, val expires: MonotonicTime)

    private class Ended(val tokens: Long, var unspent: Long, val mark: HistoryMark, val forgottenAt: MonotonicTime)
}
