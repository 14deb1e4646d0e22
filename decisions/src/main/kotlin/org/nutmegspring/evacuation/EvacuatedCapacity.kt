package org.nutmegspring.evacuation

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.spending.EndpointCounts

/**
 * Returns [targets] without the data centres that are not [permitted], where nothing is ordered. Their endpoints are
 * replaced by interruptible ones in the others, one after the other where most room is left under [maxEndpoints].
 */
fun replaceEvacuated(
    targets: Map<DataCentreId, EndpointCounts>,
    maxEndpoints: Int,
    permitted: (DataCentreId) -> Boolean,
): Map<DataCentreId, EndpointCounts> {
    val missing = targets.filterKeys { !permitted(it) }.values.sumOf { it.steady + it.interruptible }
    val remaining = targets.filterKeys(permitted).toMutableMap()
    repeat(missing) {
        val (dataCentre, target) = remaining.entries.minByOrNull { it.value.steady + it.value.interruptible }
            ?.takeIf { it.value.steady + it.value.interruptible < maxEndpoints } ?: return remaining
        remaining[dataCentre] = target.copy(interruptible = target.interruptible + 1)
    }
    return remaining
}
