package org.nutmegspring.lease

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.InstanceId

/** The wish of each instance for a duty, by rendezvous hashing over the instances that are believed to run. */
object DutyPlacement {
    private const val STANDBY_COUNT = 2

    /** Returns the wish of [self] for [duty] among the [candidates], which are the instances that take duties. */
    fun wish(duty: Duty, self: InstanceId, candidates: Set<InstanceId>): LeaseWish {
        if (self !in candidates) return LeaseWish.NONE
        val rank = candidates.count { ahead(duty, it, self) }
        return when {
            rank == 0 -> LeaseWish.HOLD
            rank <= STANDBY_COUNT -> LeaseWish.STAND_BY
            else -> LeaseWish.NONE
        }
    }

    private fun ahead(duty: Duty, other: InstanceId, self: InstanceId): Boolean {
        val order = weight(duty, other).compareTo(weight(duty, self))
        return order > 0 || (order == 0 && other > self)
    }

    private fun weight(duty: Duty, instance: InstanceId): Long =
        Hashing.komihash5_0().hashCharsToLong("${duty.key.value}\n${instance.value}")
}
