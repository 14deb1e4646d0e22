package org.nutmegspring.gateway.observe

import kotlin.time.Duration

/** Tracks how late the event loop runs tasks that are due. A busy loop reads answers and reports late. */
class EventLoopDelay {
    /** The delay of the last task. */
    var last: Duration = Duration.ZERO
        private set

    private var longest = Duration.ZERO

    /** Records that a task that was due after [planned] ran after [actual]. */
    fun record(planned: Duration, actual: Duration) {
        last = (actual - planned).coerceAtLeast(Duration.ZERO)
        longest = maxOf(longest, last)
    }

    /** Returns the longest delay since the previous call. */
    fun takeLongest(): Duration = longest.also { longest = Duration.ZERO }
}
