package org.nutmegspring.lease

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion

/** One process that takes part in leases. */
@Serializable
data class LeaseHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
)

/**
 * The value of a lease object.
 *
 * @property writer the process that wrote this value
 * @property sequence the number of this write among those of [writer]
 * @property fencing grows by one with each change of the holder
 * @property durationMilliseconds how long the lease runs from before the write was sent
 * @property released whether the writer gave the lease up with this write
 */
@Serializable
data class LeaseRecord(
    val writer: LeaseHolder,
    val sequence: Long,
    val fencing: FencingToken,
    val durationMilliseconds: Long,
    val released: Boolean = false,
)

/** A [record] as the store held it at [version]. */
data class VersionedLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
)
