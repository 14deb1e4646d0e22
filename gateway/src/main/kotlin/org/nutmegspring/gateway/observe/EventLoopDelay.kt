package org.nutmegspring.gateway.observe

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** Tracks how late the event loop runs tasks that are due. A busy loop reads requests, answers and reports late. */
class EventLoopDelay {
    /** The delay of the last task. */
    var last: Duration = Duration.ZERO
        private set

    private var longest = Duration.ZERO
    private var dueAt: MonotonicTime? = null

    /** Records that a task, due [interval] after [startedAt], runs at [now]. The next one is due after [interval]. */
    fun record(interval: Duration, startedAt: MonotonicTime, now: MonotonicTime) {
        last = (now - startedAt - interval).coerceAtLeast(Duration.ZERO)
        longest = maxOf(longest, last)
        dueAt = now + interval
    }

    /** Returns for how long what is read at [now] may have waited: as long as the last task, or the one that is due. */
    fun readDelay(now: MonotonicTime): Duration = maxOf(last, dueAt?.let { now - it } ?: Duration.ZERO)

    /** Returns the longest delay since the previous call. */
    fun takeLongest(): Duration = longest.also { longest = Duration.ZERO }
}
