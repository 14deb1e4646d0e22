package org.nutmegspring.retries

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * Limits how often this instance retries requests of one service. A retry sends a request to another endpoint.
 *
 * Over all instances, the limit is [ratio] times the number of requests in [window], plus [extra] retries. Each
 * instance applies the ratio to its own requests and uses an equal share of the extra retries, so that instances need
 * not coordinate. Requests and retries are counted over the preceding window.
 *
 * @param ratio retries allowed per request
 * @param extra retries that all instances together may make in a window beyond the ratio
 */
class RetryBudget(
    private val ratio: Double,
    private val extra: Double,
    private val window: Duration,
) {
    private val requests = ArrayDeque<MonotonicTime>()
    private val retries = ArrayDeque<MonotonicTime>()

    /** Records a request that arrived at [now]. */
    fun recordRequest(now: MonotonicTime) {
        requests.addLast(now)
        evictExpired(now)
    }

    /** Whether a retry is allowed at [now] in a fleet of [instances] instances. */
    fun isRetryAllowed(now: MonotonicTime, instances: Int): Boolean {
        evictExpired(now)
        return retries.size + 1 <= SAFETY_FACTOR * (ratio * requests.size + extra / maxOf(1, instances))
    }

    /** Records a retry at [now] and returns true if one is allowed in a fleet of [instances] instances. */
    fun tryAcquire(now: MonotonicTime, instances: Int): Boolean {
        if (!isRetryAllowed(now, instances)) return false
        retries.addLast(now)
        return true
    }

    /** Returns the number of retries in the window that ends at [now]. */
    fun retryCount(now: MonotonicTime): Int {
        evictExpired(now)
        return retries.size
    }

    private fun evictExpired(now: MonotonicTime) {
        removeUntil(requests, now - window)
        removeUntil(retries, now - window)
    }

    private fun removeUntil(times: ArrayDeque<MonotonicTime>, bound: MonotonicTime) {
        while (times.isNotEmpty() && times.first() <= bound) times.removeFirst()
    }

    private companion object {
        /** The fraction of the limit that is used. It leaves a margin for retries that cross the edges of a window. */
        const val SAFETY_FACTOR = 0.8
    }
}
