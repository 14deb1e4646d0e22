package org.nutmegspring.measure.virtual

import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Runs actions in the order of their virtual times, on one thread.
 *
 * Actions of the same time run in the order in which they were added, so a run depends on its seed alone.
 */
class VirtualSchedule : MonotonicClock {
    private val pending = PriorityQueue<Entry>(compareBy<Entry> { it.time }.thenBy { it.number })
    private var current = MonotonicTime.ZERO
    private var added = 0L

    /** How many actions have run. */
    var executed: Long = 0
        private set

    override fun now(): MonotonicTime = current

    /** Adds [action] to run after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        require(!delay.isNegative()) { "delay $delay is negative" }
        pending.add(Entry(current + delay, added++, action))
    }

    /** Runs the next action and returns true, or returns false when none is pending. */
    fun step(): Boolean {
        val entry = pending.poll() ?: return false
        current = entry.time
        executed++
        entry.action()
        return true
    }

    /** Runs every action that is due until [end]. */
    fun runUntil(end: MonotonicTime) {
        while ((pending.peek()?.time ?: return) <= end) step()
    }

    private class Entry(val time: MonotonicTime, val number: Long, val action: () -> Unit)
}
