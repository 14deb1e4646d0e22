package org.nutmegspring.lease

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.InstanceId

/** Assigns each instance its desired lease role for a duty by rendezvous hashing over the candidates. */
object DutyPlacement {
    private const val STANDBY_COUNT = 2

    /**
     * Returns the role that [self] should seek for [duty]. The [candidates] are the instances that are believed to run
     * and that take duties.
     */
    fun desiredRole(duty: Duty, self: InstanceId, candidates: Set<InstanceId>): LeaseRole {
        if (self !in candidates) return LeaseRole.NONE
        val rank = candidates.count { hasHigherRank(duty, it, self) }
        return when {
            rank == 0 -> LeaseRole.HOLD
            rank <= STANDBY_COUNT -> LeaseRole.STAND_BY
            else -> LeaseRole.NONE
        }
    }

    /** Returns those of [candidates] that [desiredRole] lets hold [duty] or stand by for it. */
    fun participants(duty: Duty, candidates: Set<InstanceId>): List<InstanceId> =
        candidates.sortedWith(compareByDescending<InstanceId> { weight(duty, it) }.thenByDescending { it })
            .take(1 + STANDBY_COUNT)

    private fun hasHigherRank(duty: Duty, other: InstanceId, self: InstanceId): Boolean {
        val comparison = weight(duty, other).compareTo(weight(duty, self))
        return comparison > 0 || (comparison == 0 && other > self)
    }

    private fun weight(duty: Duty, instance: InstanceId): Long =
        Hashing.komihash5_0().hashCharsToLong("${duty.key.value}\n${instance.value}")
}
