package org.nutmegspring.node.limits

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.limits.InstanceListing
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.limits.LimitShard
import org.nutmegspring.limits.SlotRecord
import org.nutmegspring.limits.VersionedSlots
import org.nutmegspring.limits.emptySlotRecord
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Acquires and releases the slots of the rate limits in the platform's store. Not safe for concurrent use. */
internal class SlotDuty(
    private val limits: SharedLimitTable,
    private val settings: LimitSettings,
    private val shardCount: Int,
    private val store: ObjectStore,
    private val lists: PlatformLists,
    private val clock: MonotonicClock,
) {
    /**
     * Reconciles periodically until the coroutine is cancelled. Calls [onAllHeld] after each round in which every shard
     * has a slot with a holder.
     */
    suspend fun run(onAllHeld: () -> Unit): Nothing {
        while (true) {
            val changes = reconcile().getOrNull()
            limits.withTable { now -> tick(now) }
            if (isEveryShardHeld()) onAllHeld()
            delay(if (changes == 0 && isEveryShardHeld()) reconcileInterval else reconcileIntervalAfterChange)
        }
    }

    /** Reads the slot records of all shards, writes the decided changes, and returns the number of attempted writes. */
    suspend fun reconcile(): Either<StoreFailure, Int> = either {
        val records = store.list(ObjectKey(PREFIX)).bind().associateBy { it.key }
        val requestedAt = clock.now()
        val listed = lists.instances().bind()
        val departing = listed.filter { it.state == ListedState.DEPARTING }.map { it.id }.toSet()
        val listing = InstanceListing(listed.map { it.id }.toSet(), departing, requestedAt)
        (0 until shardCount).count { reconcileShard(LimitShard(it), records[keyOf(LimitShard(it))], listing) }
    }

    private fun isEveryShardHeld(): Boolean = limits.withTable {
        (0 until shardCount).all { shard -> slots(LimitShard(shard)).slots.any { it.holder != null } }
    }

    private suspend fun reconcileShard(shard: LimitShard, stored: VersionedObject?, listing: InstanceListing): Boolean {
        val current = decodeSlots(stored) ?: return false
        val next = limits.withTable { now -> decideSlots(shard, current, listing, now) } ?: return false
        val condition = current.version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        store.write(keyOf(shard), json.encodeToString(SlotRecord.serializer(), next), condition)
            .onRight { version -> limits.withTable { now -> observeSlots(shard, VersionedSlots(next, version), now) } }
        return true
    }

    private fun decodeSlots(stored: VersionedObject?): VersionedSlots? {
        if (stored == null) return VersionedSlots(emptySlotRecord(settings), null)
        val record = try {
            json.decodeFromString(SlotRecord.serializer(), stored.value)
        } catch (exception: SerializationException) {
            logger.error { "object ${stored.key} cannot be decoded: ${exception.message}" }
            return null
        }
        if (record.slots.size == settings.slots) return VersionedSlots(record, stored.version)
        logger.error { "object ${stored.key} has ${record.slots.size} slots, expected ${settings.slots}" }
        return null
    }

    private fun keyOf(shard: LimitShard) = ObjectKey("$PREFIX$shard")

    private companion object {
        const val PREFIX = "limits/slots/"
        val reconcileInterval = 5.seconds
        val reconcileIntervalAfterChange = 200.milliseconds
        val json = Json
    }
}
