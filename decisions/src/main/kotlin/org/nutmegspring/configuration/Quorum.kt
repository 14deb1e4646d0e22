package org.nutmegspring.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId

/** Quorums of two views of the list intersect as long as at most one in this many of the entries differs. */
private const val LIST_DIFFERENCE_DIVISOR = 5

/** The number of instances in each data centre that read the head of the chain. */
const val OBSERVERS_PER_DATA_CENTRE: Int = 2

/**
 * Returns the number of instances that form a quorum of [listed] instances.
 *
 * Any two quorums of lists of equal length have an instance in common as long as at most a fifth of one list is
 * missing from the other.
 */
fun quorumSize(listed: Int): Int {
    val differing = listed / LIST_DIFFERENCE_DIVISOR
    return (listed + differing) / 2 + 1
}

/** Selects the [members] that read the head of the chain on behalf of the other instances in their data centre. */
fun selectObservers(members: Map<InstanceId, DataCentreId>): Set<InstanceId> = members.entries
    .groupBy({ it.value }, { it.key })
    .values
    .flatMap { ids -> ids.sortedByDescending(::hashWeight).take(OBSERVERS_PER_DATA_CENTRE) }
    .toSet()

private fun hashWeight(id: InstanceId): Long = Hashing.komihash5_0().hashCharsToLong(id.value)
