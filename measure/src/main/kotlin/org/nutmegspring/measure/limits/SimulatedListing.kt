package org.nutmegspring.measure.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The platform's list of instances. Each reading is as old as a random time up to [lag]. */
internal class SimulatedListing(private val schedule: VirtualSchedule, private val random: Random) {
    private val states = ArrayDeque(listOf(State(MonotonicTime.ZERO, emptySet())))

    /** The greatest age of a reading. */
    var lag: Duration = usualLag

    /** Adds [instance]. */
    fun add(instance: InstanceId) = change { it + instance }

    /** Removes [instance], which has ended. */
    fun remove(instance: InstanceId) = change { it - instance }

    /** Returns a reading. */
    fun read(): Set<InstanceId> {
        val time = schedule.now() - lag * random.nextDouble()
        return (states.findLast { it.since <= time } ?: states.first()).instances
    }

    private fun change(edit: (Set<InstanceId>) -> Set<InstanceId>) {
        states.addLast(State(schedule.now(), edit(states.last().instances)))
        if (states.size > MOST_STATES) states.removeFirst()
    }

    private class State(val since: MonotonicTime, val instances: Set<InstanceId>)

    companion object {
        /** The usual greatest age of a reading. */
        val usualLag = 0.5.seconds

        private const val MOST_STATES = 100
    }
}
