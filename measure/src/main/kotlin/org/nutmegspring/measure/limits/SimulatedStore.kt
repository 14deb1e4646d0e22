package org.nutmegspring.measure.limits

import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.standin.platform.InMemoryObjects
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A store on virtual time that can be down, slow, or lose replies. A call that fails answers nothing. */
internal class SimulatedStore(private val schedule: VirtualSchedule, private val random: Random) {
    private val objects = InMemoryObjects()

    /** Whether it answers nothing and changes nothing. */
    var down = false

    /** Whether it takes seconds to answer and to change. */
    var slow = false

    /** The share of replies that are lost after the effect. */
    var replyLoss = 0.0

    /** How many calls reached it. */
    var calls = 0L
        private set

    /** Reads the object at [key]. */
    fun read(key: ObjectKey, answer: (VersionedObject?) -> Unit) = call { answer(objects.read(key)) }

    /** Writes [value] when [condition] holds and answers the version only when it did. */
    fun write(key: ObjectKey, value: String, condition: WriteCondition, answer: (ObjectVersion) -> Unit) {
        if (down) return
        calls++
        schedule.after(delay()) {
            val version = objects.write(key, value, condition).getOrNull()
            if (version != null && random.nextDouble() >= replyLoss) schedule.after(delay()) { answer(version) }
        }
    }

    private fun call(reply: () -> Unit) {
        if (down) return
        calls++
        schedule.after(delay()) {
            if (!down && random.nextDouble() >= replyLoss) schedule.after(delay(), reply)
        }
    }

    private fun delay(): Duration {
        val usual = random.nextLong(MOST_MILLISECONDS).milliseconds
        return if (slow) usual + random.nextDouble(MOST_SECONDS_WHEN_SLOW).seconds else usual
    }

    private companion object {
        const val MOST_MILLISECONDS = 4L
        const val MOST_SECONDS_WHEN_SLOW = 4.0
    }
}
