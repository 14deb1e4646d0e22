package org.nutmegspring.quota

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The sum of the units added within the last [window], with a resolution of 1/80 of the window. */
internal class SlidingSum(private val window: Duration, now: MonotonicTime) {
    private val bucketLength = window / BUCKETS
    private val buckets = LongArray(BUCKETS + 1)
    private var newestBucket = bucketOf(now)
    private var sum = 0L

    /** Adds [units] at [now]. */
    fun add(units: Long, now: MonotonicTime) {
        advance(now)
        buckets[index(newestBucket)] += units
        sum += units
    }

    /** Subtracts [units] that were added at [addedAt], unless they have left the window at [now]. */
    fun subtract(units: Long, addedAt: MonotonicTime, now: MonotonicTime) {
        advance(now)
        val bucket = bucketOf(addedAt)
        if (bucket <= newestBucket - buckets.size) return
        buckets[index(bucket)] -= units
        sum -= units
    }

    /** Returns the sum over the window that ends at [now]. */
    fun sum(now: MonotonicTime): Long {
        advance(now)
        return sum
    }

    /** Returns the sum of what was added from [begin] to [now], as far as it is in the window. */
    fun sumSince(begin: MonotonicTime, now: MonotonicTime): Long {
        advance(now)
        val first = maxOf(bucketOf(begin), newestBucket - BUCKETS)
        if (first == newestBucket - BUCKETS) return sum
        return (first..newestBucket).sumOf { buckets[index(it)] }
    }

    /** Discards everything added before [now]. */
    fun clear(now: MonotonicTime) {
        advance(now)
        buckets.fill(0)
        sum = 0
    }

    /** Returns the units of each 1/80 of the window, the newest first, without zeros at the end. */
    fun slices(now: MonotonicTime): List<Long> {
        advance(now)
        return List(buckets.size) { buckets[index(newestBucket - it)] }.dropLastWhile { it == 0L }
    }

    /** Replaces the units of the time before [end] by [slices], as [SlidingSum.slices] returned them at [now]. */
    fun replaceBefore(end: MonotonicTime, slices: List<Long>, now: MonotonicTime) {
        advance(now)
        val last = bucketOf(end) - 1
        for (bucket in (newestBucket - BUCKETS)..minOf(last, newestBucket)) {
            val units = slices.getOrElse((newestBucket - bucket).toInt()) { 0L }
            sum += units - buckets[index(bucket)]
            buckets[index(bucket)] = units
        }
    }

    /** Returns the time until [units] have left the window, or null if it does not contain that many. */
    fun timeUntilFreed(units: Double, now: MonotonicTime): Duration? {
        advance(now)
        var freed = 0L
        for (age in BUCKETS downTo 0) {
            freed += buckets[index(newestBucket - age)]
            if (freed >= units) return bucketLength * (BUCKETS + 1 - age)
        }
        return null
    }

    private fun advance(now: MonotonicTime) {
        val current = bucketOf(now)
        if (current <= newestBucket) return
        val steps = minOf(current - newestBucket, buckets.size.toLong())
        for (step in 1..steps) {
            val index = index(newestBucket + step)
            sum -= buckets[index]
            buckets[index] = 0
        }
        newestBucket = current
    }

    private fun bucketOf(time: MonotonicTime): Long = Math.floorDiv(time.nanoseconds, bucketLength.inWholeNanoseconds)

    private fun index(bucket: Long): Int = Math.floorMod(bucket, buckets.size)

    private companion object {
        const val BUCKETS = 80
    }
}
