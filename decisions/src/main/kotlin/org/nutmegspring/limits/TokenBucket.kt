package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The refill rate and the capacity of a bucket.
 *
 * @property capacity the maximum level, in tokens
 */
data class BucketRate(
    val tokensPerSecond: Double,
    val capacity: Double,
)

/**
 * A token bucket that supports reservations and refunds.
 *
 * Reserved tokens occupy the bucket's capacity until they are released. In any window of length T, at most
 * `capacity + tokensPerSecond * T` tokens are therefore spent, whether by [charge] or out of reservations.
 *
 * [refund] reduces a charge after the fact. It credits only what would not have overflowed had the charge been smaller
 * from the start: at most the capacity minus the maximum fill since the charge, where earlier refunds count as if they
 * had been credited at the time of their charges. The amounts spent, each net of its refund and counted at the time of
 * its charge, therefore stay within the same bound.
 *
 * Times come from one monotonic clock. The class is not safe for concurrent use.
 */
open class TokenBucket(rate: BucketRate, level: Double, private var updatedAt: MonotonicTime) {
    private val fillHistory = FillHistory()
    private var reserved = 0L
    private var level = minOf(level, rate.capacity)

    /** The current rate and capacity. */
    var rate: BucketRate = rate
        private set

    /** Whether nothing is reserved and the bucket is full at [now]. */
    fun isFull(now: MonotonicTime): Boolean {
        refill(now)
        return reserved == 0L && level >= rate.capacity
    }

    /** Returns the number of tokens that can be charged or reserved at [now]. */
    fun available(now: MonotonicTime): Long {
        refill(now)
        return level.toLong()
    }

    /** Charges [tokens], which must not exceed the level, and returns the mark for a later [refund]. */
    fun charge(tokens: Long, now: MonotonicTime): HistoryMark {
        refill(now)
        require(tokens <= level) { "$tokens tokens exceed the level $level" }
        val mark = fillHistory.record(fill())
        level -= tokens
        return mark
    }

    /** Refunds [tokens] charged or released at [mark], as far as they would not have overflowed the bucket since. */
    open fun refund(tokens: Long, mark: HistoryMark, now: MonotonicTime) {
        refill(now)
        val maximumFill = maxOf(fillHistory.maximumSince(mark), fill())
        val credit = minOf(tokens.toDouble(), rate.capacity - maximumFill)
        if (credit <= 0) return
        fillHistory.raiseSince(mark, credit)
        add(credit)
    }

    /** Reserves [tokens], which must not exceed the level. */
    fun reserve(tokens: Long, now: MonotonicTime) {
        refill(now)
        require(tokens <= level) { "$tokens tokens exceed the level $level" }
        level -= tokens
        reserved += tokens
    }

    /** Releases a reservation of [tokens], credits the [unspent] ones and returns the mark for a later [refund]. */
    fun release(tokens: Long, unspent: Long, now: MonotonicTime): HistoryMark {
        refill(now)
        val mark = fillHistory.record(fill())
        reserved -= tokens
        add(unspent.toDouble())
        return mark
    }

    /** Changes the rate and capacity. A smaller capacity cuts the level at once; earlier charges get no refunds. */
    open fun resize(newRate: BucketRate, now: MonotonicTime) {
        refill(now)
        if (newRate == rate) return
        rate = newRate
        level = minOf(level, maxOf(0.0, newRate.capacity - reserved))
        fillHistory.clear()
    }

    /** Returns the time until [tokens] are available if none are charged meanwhile, or null if they never will be. */
    fun timeUntil(tokens: Long, now: MonotonicTime): Duration? {
        refill(now)
        if (tokens > rate.capacity || rate.tokensPerSecond <= 0) return null
        return (maxOf(0.0, tokens - level) / rate.tokensPerSecond).seconds
    }

    /** Adds [tokens] to the level as far as the capacity allows. */
    protected fun add(tokens: Double) {
        level = maxOf(level, minOf(level + tokens, rate.capacity - reserved))
    }

    private fun fill(): Double = level + reserved

    private fun refill(now: MonotonicTime) {
        if (now <= updatedAt) return
        val generated = rate.tokensPerSecond * (now - updatedAt).toDouble(DurationUnit.SECONDS)
        updatedAt = now
        add(generated)
    }
}

/** Creates a bucket with the given rate and the given level of tokens at `now`. */
typealias TokenBucketFactory = (rate: BucketRate, level: Double, now: MonotonicTime) -> TokenBucket

/** Creates a bucket that holds [level] tokens at [now]. */
fun tokenBucket(rate: BucketRate, level: Double, now: MonotonicTime): TokenBucket = TokenBucket(rate, level, now)
