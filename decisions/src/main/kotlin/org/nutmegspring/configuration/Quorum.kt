package org.nutmegspring.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId

/** One part in this many of two views of the list may differ while their quorums still meet. */
private const val LIST_DIFFERENCE_DIVISOR = 5

/** How many instances of each data centre read the head of the chain. */
const val OBSERVERS_PER_DATA_CENTRE: Int = 2

/**
 * Returns how many of [listed] instances form a quorum.
 *
 * Any two quorums of equally long lists share an instance as long as at most a fifth of the one list is not in the
 * other.
 */
fun quorum(listed: Int): Int {
    val differing = listed / LIST_DIFFERENCE_DIVISOR
    return (listed + differing) / 2 + 1
}

/** Returns the instances of [members] that read the head of the chain for the others of their data centre. */
fun observers(members: Map<InstanceId, DataCentreId>): Set<InstanceId> = members.entries
    .groupBy({ it.value }, { it.key })
    .values
    .flatMap { ids -> ids.sortedByDescending(::weight).take(OBSERVERS_PER_DATA_CENTRE) }
    .toSet()

private fun weight(id: InstanceId): Long = Hashing.komihash5_0().hashCharsToLong(id.value)
