package org.nutmegspring.measure.limits

import org.nutmegspring.limits.BucketRate
import org.nutmegspring.limits.HistoryMark
import org.nutmegspring.limits.TokenBucket
import org.nutmegspring.time.MonotonicTime

/** A bucket that credits a refund as far as there is room at the time of the refund. It is defective. */
internal class ClampedRefundBucket(
    rate: BucketRate,
    level: Double,
    now: MonotonicTime,
) : TokenBucket(rate, level, now) {
    override fun refund(tokens: Long, mark: HistoryMark, now: MonotonicTime) {
        available(now)
        add(tokens.toDouble())
    }
}

/** A bucket that is full whenever its instance acquires slots. It is defective. */
internal class FullStartBucket(rate: BucketRate, now: MonotonicTime) : TokenBucket(rate, rate.capacity, now) {
    override fun resize(changed: BucketRate, now: MonotonicTime) {
        val added = changed.capacity - rate.capacity
        super.resize(changed, now)
        if (added > 0) add(added)
    }
}
