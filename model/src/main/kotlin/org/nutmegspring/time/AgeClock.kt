package org.nutmegspring.time

import kotlin.time.Duration

/**
 * Measures how old a proof or a lease is, in its safe direction: never younger than it is, perhaps older.
 *
 * A [MonotonicClock] leaves out the time during which the machine is suspended. That is right for a wait that must not
 * end early, such as one for another's lease or for a window of charges. An age clock has no readings, so that it can't
 * be handed to such a wait.
 */
public fun interface AgeClock {
    /** Returns at least the time that has passed since [time], a reading of the monotonic clock of this process. */
    public fun ageOf(time: MonotonicTime): Duration
}

/** Returns an age clock for a machine that is not suspended: ages at this reading. */
public fun MonotonicTime.agesWithoutSuspension(): AgeClock = AgeClock { this - it }

/** Returns an age clock for a machine that is not suspended. */
public fun MonotonicClock.agesWithoutSuspension(): AgeClock = AgeClock { now() - it }
