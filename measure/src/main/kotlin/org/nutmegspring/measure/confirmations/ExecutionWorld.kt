package org.nutmegspring.measure.confirmations

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.invariant.Violation
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.standin.platform.InMemoryObjects
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** What all parts of one run share: virtual time, randomness, the store's objects and the invariants. */
internal class ExecutionWorld(seed: Long) {
    val schedule = VirtualSchedule()
    val random = Random(seed)
    val objects = InMemoryObjects()
    val storeFaults = CallFaults(random)
    val injected = HashMap<Fault, Long>()
    val ledger = ExecutionLedger(this)

    /** The first violation, if any. */
    var violation: Violation? = null
        private set

    /** A number that depends on all that happened. */
    var digest = 0L
        private set

    private val monitor = InvariantMonitor(seed) { found -> if (violation == null) violation = found }

    /** Whether something with [probability] happens. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Returns a time between [least] and [most]. */
    fun between(least: Duration, most: Duration): Duration =
        random.nextLong(least.inWholeMicroseconds, most.inWholeMicroseconds + 1).microseconds

    /** Records an event. */
    fun record(event: String) {
        digest = digest * DIGEST_FACTOR + event.hashCode()
        monitor.record { "${schedule.now().nanoseconds / NANOSECONDS_PER_MILLISECOND} ms $event" }
    }

    /** Counts and records a fault. */
    fun inject(fault: Fault, detail: String) {
        injected.merge(fault, 1, Long::plus)
        record("fault $fault $detail")
    }

    /** Checks an invariant. */
    fun check(invariant: Invariant, holds: Boolean, detail: () -> String) = monitor.check(invariant, holds, detail)

    private companion object {
        const val DIGEST_FACTOR = 31L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
