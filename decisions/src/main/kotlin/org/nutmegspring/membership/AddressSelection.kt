package org.nutmegspring.membership

import org.nutmegspring.identity.DataCentreId
import kotlin.math.ln
import kotlin.random.Random

/**
 * Parameters for selecting the addresses that a caller receives.
 *
 * @property count the number of addresses that a caller receives
 * @property localWeight the factor on the weight of instances in the caller's data centre
 * @property minimumWeight the lower bound on the free capacity used as weight, so that full instances keep some weight
 */
data class AddressSelection(
    val count: Int = 3,
    val localWeight: Double = 8.0,
    val minimumWeight: Double = 0.02,
)

/**
 * Returns the instances that a caller near [dataCentre] should use, in order of preference.
 *
 * Selects only members that admit requests, whatever their state in the platform's list. Each call takes a new
 * weighted random sample by free capacity and data centre, so that callers are distributed over the instances. If the
 * sample is full but lies in a single data centre, an instance in another data centre replaces the last one, if any.
 */
fun selectAddresses(
    members: List<MemberState>,
    dataCentre: DataCentreId,
    random: Random,
    selection: AddressSelection = AddressSelection(),
): List<MemberState> {
    val ranked = members
        .filter { it.phase == InstancePhase.READY }
        .map { it to -ln(random.nextDouble(Double.MIN_VALUE, 1.0)) / weightOf(it, dataCentre, selection) }
        .sortedBy { (_, rank) -> rank }
        .map { (member, _) -> member }
    val first = ranked.take(selection.count)
    if (first.size < selection.count || first.map { it.dataCentre }.distinct().size > 1) return first
    val elsewhere = ranked.firstOrNull { it.dataCentre != first.first().dataCentre } ?: return first
    return first.dropLast(1) + elsewhere
}

private fun weightOf(member: MemberState, dataCentre: DataCentreId, selection: AddressSelection): Double {
    val free = (1 - member.load).coerceIn(selection.minimumWeight, 1.0)
    return if (member.dataCentre == dataCentre) free * selection.localWeight else free
}
