package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The rate at which a bucket fills, in tokens per second, and the most that it holds, in tokens. */
data class BucketRate(
    val tokensPerSecond: Double,
    val capacity: Double,
)

/**
 * A token bucket of which part may be reserved for others.
 *
 * What is reserved keeps occupying the bucket until it is released, so in any window of length T at most
 * `capacity + tokensPerSecond * T` tokens are spent, whether by [charge] or out of what was reserved.
 *
 * [refund] replaces a charge by a smaller one after the fact. It credits only what would not have overflowed had the
 * charge been smaller from the start: the capacity less the greatest fill since the charge, where earlier refunds
 * count as if they had been credited at their charges. The spent amounts, each counted at the instant of its charge
 * and after its refund, therefore keep to the same bound.
 *
 * Times come from one monotonic clock. The class is not safe for concurrent use.
 */
open class TokenBucket(rate: BucketRate, level: Double, private var updated: MonotonicTime) {
    private val peaks = FillPeaks()
    private var reserved = 0L
    private var level = minOf(level, rate.capacity)

    /** The current rate and capacity. */
    var rate: BucketRate = rate
        private set

    /** Whether nothing is reserved and the bucket is full at [now]. */
    fun isFull(now: MonotonicTime): Boolean {
        advance(now)
        return reserved == 0L && level >= rate.capacity
    }

    /** Returns how many tokens can be charged or reserved at [now]. */
    fun available(now: MonotonicTime): Long {
        advance(now)
        return level.toLong()
    }

    /** Takes [tokens], of which as many must be available, and returns the mark for a later [refund]. */
    fun charge(tokens: Long, now: MonotonicTime): HistoryMark {
        advance(now)
        require(tokens <= level) { "$tokens tokens exceed the level $level" }
        val mark = peaks.record(fill())
        level -= tokens
        return mark
    }

    /** Credits what is safe of [tokens] charged or released at [mark]. */
    open fun refund(tokens: Long, mark: HistoryMark, now: MonotonicTime) {
        advance(now)
        val peak = maxOf(peaks.since(mark), fill())
        val credit = minOf(tokens.toDouble(), rate.capacity - peak)
        if (credit <= 0) return
        peaks.raise(mark, credit)
        add(credit)
    }

    /** Reserves [tokens], of which as many must be available. */
    fun reserve(tokens: Long, now: MonotonicTime) {
        advance(now)
        require(tokens <= level) { "$tokens tokens exceed the level $level" }
        level -= tokens
        reserved += tokens
    }

    /** Ends the reservation of [tokens], of which [unspent] were not spent, and returns the mark for a [refund]. */
    fun release(tokens: Long, unspent: Long, now: MonotonicTime): HistoryMark {
        advance(now)
        val mark = peaks.record(fill())
        reserved -= tokens
        add(unspent.toDouble())
        return mark
    }

    /** Changes rate and capacity. A smaller capacity cuts the level at once; refunds of earlier charges are lost. */
    open fun resize(changed: BucketRate, now: MonotonicTime) {
        advance(now)
        if (changed == rate) return
        rate = changed
        level = minOf(level, maxOf(0.0, changed.capacity - reserved))
        peaks.forget()
    }

    /** Returns the time until [tokens] are available if nothing else happens, or null when they never are. */
    fun timeUntil(tokens: Long, now: MonotonicTime): Duration? {
        advance(now)
        if (tokens > rate.capacity || rate.tokensPerSecond <= 0) return null
        return (maxOf(0.0, tokens - level) / rate.tokensPerSecond).seconds
    }

    /** Adds [tokens] to the level as far as the capacity allows. */
    protected fun add(tokens: Double) {
        level = maxOf(level, minOf(level + tokens, rate.capacity - reserved))
    }

    private fun fill(): Double = level + reserved

    private fun advance(now: MonotonicTime) {
        if (now <= updated) return
        val minted = rate.tokensPerSecond * (now - updated).toDouble(DurationUnit.SECONDS)
        updated = now
        add(minted)
    }
}

/** Creates a bucket that holds a level of tokens at a time. */
typealias TokenBucketFactory = (rate: BucketRate, level: Double, now: MonotonicTime) -> TokenBucket

/** Returns a bucket that holds [level] tokens at [now]. */
fun tokenBucket(rate: BucketRate, level: Double, now: MonotonicTime): TokenBucket = TokenBucket(rate, level, now)
