package org.nutmegspring.retries

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * Bounds how often this instance sends a request of one service to a further endpoint.
 *
 * The bound over all instances is [ratio] of the requests in [window] plus [extra]. Each instance keeps to the ratio
 * of its own requests and to an equal part of the extra, so that no exchange is needed. Requests are counted over the
 * window before.
 *
 * @param ratio further sendings for each request
 * @param extra further sendings that all instances may make in a window beyond the ratio
 */
class RetryBudget(
    private val ratio: Double,
    private val extra: Double,
    private val window: Duration,
) {
    private val requests = ArrayDeque<MonotonicTime>()
    private val spent = ArrayDeque<MonotonicTime>()

    /** Counts a request that arrived at [now]. */
    fun requested(now: MonotonicTime) {
        requests.addLast(now)
        forget(now)
    }

    /** Whether one further sending is allowed at [now] among [instances] instances. */
    fun allows(now: MonotonicTime, instances: Int): Boolean {
        forget(now)
        return spent.size + 1 <= SAFETY * (ratio * requests.size + extra / maxOf(1, instances))
    }

    /** Takes one further sending at [now] when it is allowed among [instances] instances. */
    fun take(now: MonotonicTime, instances: Int): Boolean {
        if (!allows(now, instances)) return false
        spent.addLast(now)
        return true
    }

    /** Returns how many further sendings were made in the window before [now]. */
    fun spent(now: MonotonicTime): Int {
        forget(now)
        return spent.size
    }

    private fun forget(now: MonotonicTime) {
        dropBefore(requests, now - window)
        dropBefore(spent, now - window)
    }

    private fun dropBefore(times: ArrayDeque<MonotonicTime>, bound: MonotonicTime) {
        while (times.isNotEmpty() && times.first() <= bound) times.removeFirst()
    }

    private companion object {
        /** Leaves room for sendings that cross the edges of a window. */
        const val SAFETY = 0.8
    }
}
