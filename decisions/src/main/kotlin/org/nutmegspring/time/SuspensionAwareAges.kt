package org.nutmegspring.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measures ages that include the time during which the machine was suspended.
 *
 * The monotonic clock stops during a suspension, but the wall clock does not. An age is the time by the monotonic
 * clock, plus what the wall clock has gained on it since then whenever that gain exceeded [tolerance]. A forward step
 * of the wall clock makes everything before it look older, which costs a renewal but never makes old evidence look
 * fresh.
 *
 * @param monotonic the underlying monotonic clock
 * @param wallClockMilliseconds reads the wall clock, in milliseconds since the epoch
 * @param tolerance the largest difference between the two clocks that is ignored
 */
class SuspensionAwareAges(
    private val monotonic: MonotonicClock,
    private val wallClockMilliseconds: () -> Long,
    private val tolerance: Duration = DEFAULT_TOLERANCE,
) : AgeClock {
    /** What the wall clock has gained in all up to [noticedAt]. */
    private class Gain(val noticedAt: MonotonicTime, val total: Duration)

    private var monotonicAnchor = monotonic.now()
    private var wallClockAnchor = wallClockMilliseconds()
    private val gains = ArrayDeque<Gain>()

    @Synchronized
    override fun ageOf(time: MonotonicTime): Duration {
        val now = monotonic.now()
        noticeGain(now)
        return now - time + gainedSince(time)
    }

    private fun noticeGain(now: MonotonicTime) {
        val wallClock = wallClockMilliseconds()
        val gained = (wallClock - wallClockAnchor).milliseconds - (now - monotonicAnchor)
        if (gained.absoluteValue <= tolerance) return
        if (gained > Duration.ZERO) {
            gains.addLast(Gain(now, (gains.lastOrNull()?.total ?: Duration.ZERO) + gained))
            if (gains.size > MAXIMUM_GAINS) gains.removeFirst()
        }
        monotonicAnchor = now
        wallClockAnchor = wallClock
    }

    /** A gain that was noticed at [time] or later counts, also if it began before. */
    private fun gainedSince(time: MonotonicTime): Duration {
        val latest = gains.lastOrNull() ?: return Duration.ZERO
        val before = gains.lastOrNull { it.noticedAt < time }?.total ?: Duration.ZERO
        return latest.total - before
    }

    private companion object {
        /** Allows for the delay between the two clock reads and for small gradual adjustments of the wall clock. */
        val DEFAULT_TOLERANCE = 100.milliseconds

        /** Older gains count for every age. */
        const val MAXIMUM_GAINS = 64
    }
}
