package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** What a process wants of a lease. */
enum class LeaseWish {
    /** To hold it. */
    HOLD,

    /** To hold it after its holder failed, but not before the preferred process had time to take it. */
    STAND_BY,

    /** Not to hold it. */
    NONE,
}

/** A lease that this process holds until [validUntil] on its own clock. */
data class HeldLease(
    val fencing: FencingToken,
    val validUntil: MonotonicTime,
) {
    /** Whether the lease holds at [now]. */
    fun isValid(now: MonotonicTime): Boolean = now < validUntil

    /** Whether the lease holds without renewal for [span] after [now]. */
    fun covers(now: MonotonicTime, span: Duration): Boolean = now + span < validUntil
}

/** A write of a lease whose effect is not known. The lease would run from [sentAt], before it was sent. */
data class LeaseWrite(
    val record: LeaseRecord,
    val condition: WriteCondition,
    val sentAt: MonotonicTime,
)

/** A lease object as this process saw it. It stood at its version at [firstSeenAt] or before. */
data class SeenLease(
    val lease: VersionedLease,
    val firstSeenAt: MonotonicTime,
) {
    /** The version of the object. */
    val version: ObjectVersion get() = lease.version

    /** The value of the object. */
    val record: LeaseRecord get() = lease.record
}

/**
 * What one process knows of one lease.
 *
 * @property seen the object as last seen, or null when it did not exist
 * @property readAt when the object was last read or written, or null when its state has to be read
 * @property unresolved writes of this process that may have taken effect or may still do so
 */
data class LeaseState(
    val self: LeaseHolder,
    val seen: SeenLease? = null,
    val readAt: MonotonicTime? = null,
    val held: HeldLease? = null,
    val unresolved: List<LeaseWrite> = emptyList(),
    val lastSequence: Long = 0,
)

/** What a process does next about a lease. */
sealed interface LeaseAction {
    /** Read the object. */
    data object Read : LeaseAction

    /** Send [write]. */
    data class Write(val write: LeaseWrite) : LeaseAction

    /** Do nothing until [until]. */
    data class Wait(val until: MonotonicTime) : LeaseAction
}
