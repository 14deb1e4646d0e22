package org.nutmegspring.measure.virtual

import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.invariant.Violation
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.standin.platform.InMemoryObjects
import java.util.EnumMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the processes and endpoints of one randomised run share. */
internal open class FaultWorld(seed: Long) {
    val random = Random(seed)
    val schedule = VirtualSchedule()
    val objects = InMemoryObjects()
    val injected = EnumMap<Fault, Long>(Fault::class.java)

    /** Folds every accepted order, so that equal runs have equal digests. */
    var digest: Long = seed
        private set

    /** The first violation, or null. */
    var violation: Violation? = null
        private set

    val monitor = InvariantMonitor(seed) { found -> if (violation == null) violation = found }

    /** Records an event that depends on the seed alone. */
    fun record(event: String) {
        digest = digest * DIGEST_FACTOR + event.hashCode()
        monitor.record { "${schedule.now().nanoseconds / NANOSECONDS_PER_MILLISECOND} ms $event" }
    }

    /** Counts an injected fault. */
    fun inject(fault: Fault, detail: String) {
        injected.merge(fault, 1L, Long::plus)
        record("fault $fault $detail")
    }

    /** Draws a duration between [least] and [most] milliseconds. */
    fun milliseconds(least: Long, most: Long): Duration = random.nextLong(least, most + 1).milliseconds

    private companion object {
        const val DIGEST_FACTOR = 31
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}
