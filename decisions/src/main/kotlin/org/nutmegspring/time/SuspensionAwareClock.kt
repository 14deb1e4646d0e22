package org.nutmegspring.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A clock that never runs behind real time when the machine was suspended.
 *
 * The steady clock stands still during a suspension; the time of day does not. The reading advances by the steady
 * clock, and by what the time of day gained on it when that exceeds [tolerance]. A step of the time of day ahead thus
 * makes everything look older, which costs a renewal but never makes old evidence look fresh.
 *
 * @param steady reads the steady clock
 * @param timeOfDayMilliseconds reads the time of day, in milliseconds since the epoch
 */
class SuspensionAwareClock(
    private val steady: MonotonicClock,
    private val timeOfDayMilliseconds: () -> Long,
    private val tolerance: Duration = DEFAULT_TOLERANCE,
) : MonotonicClock {
    private var steadyAnchor = steady.now()
    private var dayAnchor = timeOfDayMilliseconds()
    private var suspended = Duration.ZERO

    @Synchronized
    override fun now(): MonotonicTime {
        val current = steady.now()
        val day = timeOfDayMilliseconds()
        val gained = (day - dayAnchor).milliseconds - (current - steadyAnchor)
        if (gained.absoluteValue > tolerance) {
            if (gained > Duration.ZERO) suspended += gained
            steadyAnchor = current
            dayAnchor = day
        }
        return current + suspended
    }

    private companion object {
        /** The two clocks are read one after the other; a slower adjustment of the time of day stays below this. */
        val DEFAULT_TOLERANCE = 100.milliseconds
    }
}
