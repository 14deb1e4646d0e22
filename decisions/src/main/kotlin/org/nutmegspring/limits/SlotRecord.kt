package org.nutmegspring.limits

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId

/** The process that holds a slot: an instance and its incarnation. */
@Serializable
data class SlotHolder(
    val instance: InstanceId,
    val incarnation: Incarnation,
)

/**
 * The state of one slot.
 *
 * @property holder the process that holds the slot, or null if it was released or never held
 * @property everHeld whether any process has ever held the slot
 */
@Serializable
data class SlotEntry(
    val holder: SlotHolder? = null,
    val everHeld: Boolean = false,
)

/** The holders of all slots of one shard, as persisted in the platform's store. */
@Serializable
data class SlotRecord(val slots: List<SlotEntry>) {
    /** Returns a copy of this record in which [holder] holds [slot]. */
    fun withHolder(slot: Int, holder: SlotHolder): SlotRecord = withEntry(slot, SlotEntry(holder, everHeld = true))

    /** Returns a copy of this record in which [slot] has no holder. */
    fun withoutHolder(slot: Int): SlotRecord = withEntry(slot, SlotEntry(null, everHeld = true))

    /** Returns the indices of the slots that [holder] holds. */
    fun heldBy(holder: SlotHolder): List<Int> = slots.indices.filter { slots[it].holder == holder }

    /** Returns the number of slots of each instance that holds any. */
    fun countByInstance(): Map<InstanceId, Int> = slots.mapNotNull { it.holder?.instance }.groupingBy { it }.eachCount()

    private fun withEntry(slot: Int, entry: SlotEntry): SlotRecord =
        SlotRecord(slots.mapIndexed { index, current -> if (index == slot) entry else current })
}

/** Returns the record of a shard whose slots were never held. */
fun emptySlotRecord(settings: LimitSettings): SlotRecord = SlotRecord(List(settings.slots) { SlotEntry() })

/** A shard of the organisations. All organisations of a shard share the same slot holders. */
@JvmInline
value class LimitShard(val number: Int) {
    override fun toString(): String = number.toString()
}

/** Returns the shard of [organisation] when organisations are divided into [shards] shards. */
fun limitShard(organisation: OrganisationId, shards: Int): LimitShard {
    val hash = Hashing.komihash5_0().hashCharsToLong(organisation.value)
    return LimitShard(Math.floorMod(hash, shards))
}

/**
 * Returns the preferred holder of each of [slots] slots of [shard].
 *
 * It is rendezvous hashing with bounded load: each slot in turn goes to the instance with the highest hash among those
 * with the fewest slots so far.
 */
fun preferredHolders(shard: LimitShard, slots: Int, instances: Set<InstanceId>): List<InstanceId> {
    if (instances.isEmpty()) return emptyList()
    val counts = instances.associateWithTo(HashMap()) { 0 }
    return List(slots) { slot ->
        val minimum = counts.values.min()
        val chosen = instances.filter { counts[it] == minimum }
            .maxWith(compareBy({ rendezvousHash(shard, slot, it) }, { it }))
        counts.merge(chosen, 1, Int::plus)
        chosen
    }
}

private fun rendezvousHash(shard: LimitShard, slot: Int, instance: InstanceId): Long =
    Hashing.komihash5_0().hashStream().putString(instance.value).putInt(shard.number).putInt(slot).asLong
