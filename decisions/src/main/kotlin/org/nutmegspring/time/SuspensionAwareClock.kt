package org.nutmegspring.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A monotonic clock that also counts the time during which the machine was suspended.
 *
 * The underlying monotonic clock stops during a suspension, but the wall clock does not. This clock advances with the
 * monotonic clock, plus what the wall clock has gained on it whenever that gain exceeds [tolerance]. A forward step of
 * the wall clock makes everything look older, which costs a renewal but never makes old evidence look fresh.
 *
 * @param monotonic the underlying monotonic clock
 * @param wallClockMilliseconds reads the wall clock, in milliseconds since the epoch
 * @param tolerance the largest difference between the two clocks that is ignored
 */
class SuspensionAwareClock(
    private val monotonic: MonotonicClock,
    private val wallClockMilliseconds: () -> Long,
    private val tolerance: Duration = DEFAULT_TOLERANCE,
) : MonotonicClock {
    private var monotonicAnchor = monotonic.now()
    private var wallClockAnchor = wallClockMilliseconds()
    private var suspended = Duration.ZERO

    @Synchronized
    override fun now(): MonotonicTime {
        val current = monotonic.now()
        val wallClock = wallClockMilliseconds()
        val gained = (wallClock - wallClockAnchor).milliseconds - (current - monotonicAnchor)
        if (gained.absoluteValue > tolerance) {
            if (gained > Duration.ZERO) suspended += gained
            monotonicAnchor = current
            wallClockAnchor = wallClock
        }
        return current + suspended
    }

    private companion object {
        /** Allows for the delay between the two clock reads and for small gradual adjustments of the wall clock. */
        val DEFAULT_TOLERANCE = 100.milliseconds
    }
}
