package org.nutmegspring.lease

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion

/** Identifies a process that can hold leases. */
@Serializable
data class LeaseHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
)

/**
 * The value of a lease object.
 *
 * @property writer the process that wrote this value
 * @property sequence the sequence number of this write among the writes of [writer]
 * @property fencing the fencing token, incremented each time the lease is acquired
 * @property durationMilliseconds how long the lease is valid, counted from just before the write was sent
 * @property released whether [writer] released the lease with this write
 */
@Serializable
data class LeaseRecord(
    val writer: LeaseHolder,
    val sequence: Long,
    val fencing: FencingToken,
    val durationMilliseconds: Long,
    val released: Boolean = false,
)

/** A [record] together with the [version] that it has in the store. */
data class VersionedLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
)
