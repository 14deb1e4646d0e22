package org.nutmegspring.membership

import org.nutmegspring.identity.DataCentreId
import kotlin.math.ln
import kotlin.random.Random

/**
 * How addresses for callers are chosen.
 *
 * @property count how many a caller gets
 * @property nearWeight how much more often an instance of the caller's data centre is named
 * @property leastWeight the weight of an instance whose capacity is used up
 */
data class AddressChoice(
    val count: Int = 3,
    val nearWeight: Double = 8.0,
    val leastWeight: Double = 0.02,
)

/**
 * Returns the instances that a caller near [dataCentre] should use, the first one first.
 *
 * Only members that admit requests are named, however the platform's list shows them. Each answer is drawn anew with
 * weights by free capacity and data centre, so that callers spread over the instances. When there are others, one of
 * them lies in another data centre.
 */
fun chooseAddresses(
    members: List<MemberState>,
    dataCentre: DataCentreId,
    random: Random,
    choice: AddressChoice = AddressChoice(),
): List<MemberState> {
    val ranked = members
        .filter { it.phase == InstancePhase.READY }
        .map { it to -ln(random.nextDouble(Double.MIN_VALUE, 1.0)) / weightOf(it, dataCentre, choice) }
        .sortedBy { (_, rank) -> rank }
        .map { (member, _) -> member }
    val first = ranked.take(choice.count)
    if (first.size < choice.count || first.map { it.dataCentre }.distinct().size > 1) return first
    val elsewhere = ranked.firstOrNull { it.dataCentre != first.first().dataCentre } ?: return first
    return first.dropLast(1) + elsewhere
}

private fun weightOf(member: MemberState, dataCentre: DataCentreId, choice: AddressChoice): Double {
    val free = (1 - member.load).coerceIn(choice.leastWeight, 1.0)
    return if (member.dataCentre == dataCentre) free * choice.nearWeight else free
}
