package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The role that a process seeks for a lease. */
enum class LeaseRole {
    /** Hold the lease. */
    HOLD,

    /** Take over after the holder has failed, but leave the preferred process enough time to do so first. */
    STAND_BY,

    /** Do not hold the lease, and release it if it is held. */
    NONE,
}

/**
 * A lease that this process holds for [duration] from [since], by its own clock.
 *
 * Whether it may act under the lease depends on the age of the lease, which counts a suspension of the machine: the
 * time of all others went on.
 */
data class HeldLease(
    val fencing: FencingToken,
    val since: MonotonicTime,
    val duration: Duration,
) {
    /** When the lease ends unless the machine is suspended. */
    val validUntil: MonotonicTime get() = since + duration

    /** Whether the lease is valid by [ages]. */
    fun isValid(ages: AgeClock): Boolean = isValidThrough(ages, Duration.ZERO)

    /** Whether the lease remains valid by [ages] for [span] from now without renewal. */
    fun isValidThrough(ages: AgeClock, span: Duration): Boolean = ages.ageOf(since) + span < duration
}

/** A conditional write of a lease object. If it takes effect, the lease runs from [sentAt], just before the send. */
data class LeaseWrite(
    val record: LeaseRecord,
    val condition: WriteCondition,
    val sentAt: MonotonicTime,
)

/** A lease object as this process last read it. This version was first observed at [firstSeenAt]. */
data class SeenLease(
    val lease: VersionedLease,
    val firstSeenAt: MonotonicTime,
) {
    /** The version of the object in the store. */
    val version: ObjectVersion get() = lease.version

    /** The lease record that the object contains. */
    val record: LeaseRecord get() = lease.record
}

/**
 * What one process knows about one lease.
 *
 * @property seen the object as last observed, or null when it was absent or has not been read
 * @property readAt when the object was last observed, or null when it must be read first
 * @property held the lease, if this process is known to hold it; check [HeldLease.isValid] before relying on it
 * @property unresolved writes of this process that may have taken effect or may still do so
 * @property lastSequence the sequence number of the last write of this process
 * @property era the era of the store to which [seen], [held] and [unresolved] belong
 * @property inherited the lease that this process held when [era] began
 * @property freeAt the earliest time at which this process may take the lease while it is absent, or null before it was
 * first found absent; in a new era, this is when the leases of earlier ones have expired
 */
data class LeaseState(
    val self: LeaseHolder,
    val seen: SeenLease? = null,
    val readAt: MonotonicTime? = null,
    val held: HeldLease? = null,
    val unresolved: List<LeaseWrite> = emptyList(),
    val lastSequence: Long = 0,
    val era: StoreEra = StoreEra.FIRST,
    val inherited: HeldLease? = null,
    val freeAt: MonotonicTime? = null,
) {
    /**
     * Returns the lease that this process holds at [now] by [ages], or null. An inherited one is used to its end, so
     * that no call under its token can arrive after one under a greater token. A step of the wall clock ends its use
     * early, but not the time in which calls under it may arrive.
     */
    fun validLease(now: MonotonicTime, ages: AgeClock): HeldLease? {
        val current = inherited?.takeIf { now < it.validUntil } ?: held
        return current?.takeIf { it.isValid(ages) }
    }
}

/** The next step of a process for a lease. */
sealed interface LeaseAction {
    /** Read the object. */
    data object Read : LeaseAction

    /** Send [write]. */
    data class Write(val write: LeaseWrite) : LeaseAction

    /** Wait until [until]. */
    data class Wait(val until: MonotonicTime) : LeaseAction
}
