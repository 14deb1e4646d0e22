package org.nutmegspring.measure.limits

import kotlinx.serialization.json.Json
import org.nutmegspring.limits.InstanceListing
import org.nutmegspring.limits.LimitShard
import org.nutmegspring.limits.SlotRecord
import org.nutmegspring.limits.VersionedSlots
import org.nutmegspring.limits.emptySlotRecord
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition

/** Reads the slots of all shards now and then, and writes what the process decides about them. */
internal class SlotPass(private val world: LimitWorld, private val process: SimulatedProcess) {
    /** Does one pass, and goes on doing so. */
    fun start() {
        process.table.tick(process.now())
        repeat(LimitWorld.SHARDS) { pass(LimitShard(it)) }
        process.after(world.options.slotInterval) { start() }
    }

    private fun pass(shard: LimitShard) {
        val key = ObjectKey("limits/slots/$shard")
        world.store.read(key) { found ->
            process.run {
                val read = decode(found)
                val requestedAt = process.now()
                val listing = InstanceListing(world.listing.read(), emptySet(), requestedAt)
                decide(shard, key, read, listing)
            }
        }
    }

    private fun decide(shard: LimitShard, key: ObjectKey, read: VersionedSlots, listing: InstanceListing) {
        val decision = process.table.decideSlots(shard, read, listing, process.now()) ?: return
        val condition = read.version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        world.store.write(key, json.encodeToString(SlotRecord.serializer(), decision), condition) { version ->
            process.run { process.table.observeSlots(shard, VersionedSlots(decision, version), process.now()) }
        }
    }

    private fun decode(found: VersionedObject?): VersionedSlots = VersionedSlots(
        record = found?.let { json.decodeFromString(SlotRecord.serializer(), it.value) }
            ?: emptySlotRecord(world.options.settings),
        version = found?.version,
    )

    private companion object {
        val json = Json
    }
}
