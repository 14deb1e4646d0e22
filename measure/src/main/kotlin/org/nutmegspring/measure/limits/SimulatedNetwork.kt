package org.nutmegspring.measure.limits

import org.nutmegspring.measure.virtual.VirtualSchedule
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** Carries messages between simulated processes, and can lose, delay and repeat them. */
internal class SimulatedNetwork(private val schedule: VirtualSchedule, private val random: Random) {
    /** The processes, by index, that reach nobody. */
    val cutOff = HashSet<Int>()

    /** When not empty, the processes on either side of it do not reach each other. */
    val oneSide = HashSet<Int>()

    /** The shares of messages that are lost, late, and delivered twice. */
    var disorder = 0.0

    /** How many messages were sent. */
    var messages = 0L
        private set

    /** Whether [from] reaches [to] now. */
    fun reaches(from: Int, to: Int): Boolean =
        from !in cutOff && to !in cutOff && (from in oneSide) == (to in oneSide)

    /** Delivers a message, which is [action]. */
    fun send(from: Int, to: Int, action: () -> Unit) {
        messages++
        if (!reaches(from, to) || happens()) return
        schedule.after(latency(), action)
        if (happens()) schedule.after(latency(), action)
    }

    private fun happens(): Boolean = disorder > 0 && random.nextDouble() < disorder

    private fun latency(): Duration {
        val usual = random.nextLong(LEAST_MICROSECONDS, MOST_MICROSECONDS).microseconds
        return if (happens()) usual + random.nextDouble(MOST_SECONDS_LATE).seconds else usual
    }

    private companion object {
        const val LEAST_MICROSECONDS = 500L
        const val MOST_MICROSECONDS = 1_500L
        const val MOST_SECONDS_LATE = 5.0
    }
}
