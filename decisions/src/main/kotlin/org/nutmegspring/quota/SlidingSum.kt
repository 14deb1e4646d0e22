package org.nutmegspring.quota

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The sum of what was added within the last [window], to an eightieth of it. */
internal class SlidingSum(private val window: Duration, now: MonotonicTime) {
    private val slotLength = window / SLOTS
    private val slots = LongArray(SLOTS + 1)
    private var newest = slotOf(now)
    private var sum = 0L

    /** Adds [units] at [now]. */
    fun add(units: Long, now: MonotonicTime) {
        advance(now)
        slots[index(newest)] += units
        sum += units
    }

    /** Returns the sum of the window before [now]. */
    fun sum(now: MonotonicTime): Long {
        advance(now)
        return sum
    }

    /** Forgets everything before [now]. */
    fun clear(now: MonotonicTime) {
        advance(now)
        slots.fill(0)
        sum = 0
    }

    /** Returns the time after which [units] will have left the window, or null when that many are not in it. */
    fun timeUntilFreed(units: Double, now: MonotonicTime): Duration? {
        advance(now)
        var freed = 0L
        for (age in SLOTS downTo 0) {
            freed += slots[index(newest - age)]
            if (freed >= units) return slotLength * (SLOTS + 1 - age)
        }
        return null
    }

    private fun advance(now: MonotonicTime) {
        val current = slotOf(now)
        if (current <= newest) return
        val steps = minOf(current - newest, slots.size.toLong())
        for (step in 1..steps) {
            val index = index(newest + step)
            sum -= slots[index]
            slots[index] = 0
        }
        newest = current
    }

    private fun slotOf(time: MonotonicTime): Long = Math.floorDiv(time.nanoseconds, slotLength.inWholeNanoseconds)

    private fun index(slot: Long): Int = Math.floorMod(slot, slots.size)

    private companion object {
        const val SLOTS = 80
    }
}
