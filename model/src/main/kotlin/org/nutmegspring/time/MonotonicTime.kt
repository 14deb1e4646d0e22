package org.nutmegspring.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of the monotonic clock of one process, in nanoseconds since an arbitrary origin.
 *
 * Readings of different processes are not comparable. Tests and measures use a virtual clock.
 */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    /** Returns the reading that is [duration] later. */
    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    /** Returns the reading that is [duration] earlier. */
    public operator fun minus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the time elapsed from [earlier] to this reading. */
    public operator fun minus(earlier: MonotonicTime): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    /** Holds the origin of virtual clocks. */
    public companion object {
        /** The origin of a virtual clock. */
        public val ZERO: MonotonicTime = MonotonicTime(0)
    }
}

/** Reads a monotonic clock. */
public fun interface MonotonicClock {
    /** Returns the current reading. */
    public fun now(): MonotonicTime
}

/** Returns the monotonic clock of this process. */
public fun systemMonotonicClock(): MonotonicClock = MonotonicClock { MonotonicTime(System.nanoTime()) }
