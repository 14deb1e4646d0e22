package org.nutmegspring.limits

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId

/** The process that holds a slot. */
@Serializable
data class SlotHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
)

/**
 * Who holds a slot.
 *
 * @property holder the holder, or null when it was handed back or nobody ever held it
 * @property everHeld whether anybody ever held it
 */
@Serializable
data class SlotEntry(
    val holder: SlotHolder? = null,
    val everHeld: Boolean = false,
)

/** The holders of all slots of one shard of the organisations, as the platform's store keeps it. */
@Serializable
data class SlotRecord(val slots: List<SlotEntry>) {
    /** Returns the record with [holder] in [slot]. */
    fun claimed(slot: Int, holder: SlotHolder): SlotRecord = with(slot, SlotEntry(holder, everHeld = true))

    /** Returns the record without a holder in [slot]. */
    fun released(slot: Int): SlotRecord = with(slot, SlotEntry(null, everHeld = true))

    /** Returns the slots that [holder] holds. */
    fun heldBy(holder: SlotHolder): List<Int> = slots.indices.filter { slots[it].holder == holder }

    /** Returns how many slots each instance holds. */
    fun countByInstance(): Map<InstanceId, Int> = slots.mapNotNull { it.holder?.instance }.groupingBy { it }.eachCount()

    private fun with(slot: Int, entry: SlotEntry): SlotRecord =
        SlotRecord(slots.mapIndexed { index, current -> if (index == slot) entry else current })
}

/** Returns the record of a shard of which nobody ever held a slot. */
fun emptySlotRecord(settings: LimitSettings): SlotRecord = SlotRecord(List(settings.slots) { SlotEntry() })

/** A shard of the organisations. Its organisations' slots are held together. */
@JvmInline
value class LimitShard(val number: Int) {
    override fun toString(): String = number.toString()
}

/** Returns the shard of [organisation] among [shards]. */
fun limitShard(organisation: OrganisationId, shards: Int): LimitShard {
    val hash = Hashing.komihash5_0().hashCharsToLong(organisation.value)
    return LimitShard(Math.floorMod(hash, shards))
}

/**
 * Returns which instance should hold each of [slots] slots of [shard].
 *
 * It is rendezvous hashing with bounded load: slot by slot, the instance with the greatest hash is taken among those
 * that have the fewest slots so far.
 */
fun preferredHolders(shard: LimitShard, slots: Int, instances: Set<InstanceId>): List<InstanceId> {
    if (instances.isEmpty()) return emptyList()
    val counts = instances.associateWithTo(HashMap()) { 0 }
    return List(slots) { slot ->
        val least = counts.values.min()
        val chosen = instances.filter { counts[it] == least }.maxWith(compareBy({ weight(shard, slot, it) }, { it }))
        counts.merge(chosen, 1, Int::plus)
        chosen
    }
}

private fun weight(shard: LimitShard, slot: Int, instance: InstanceId): Long =
    Hashing.komihash5_0().hashStream().putString(instance.value).putInt(shard.number).putInt(slot).asLong
