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

/** Takes and hands back the slots of the limits in the platform's store. One coroutine calls it. */
internal class SlotDuty(
    private val limits: SharedLimitTable,
    private val settings: LimitSettings,
    private val shards: Int,
    private val store: ObjectStore,
    private val lists: PlatformLists,
    private val clock: MonotonicClock,
) {
    /** Makes passes until the coroutine is cancelled. Calls [settled] when slots of all shards are held. */
    suspend fun run(settled: () -> Unit): Nothing {
        while (true) {
            val changes = pass().getOrNull()
            limits.use { now -> tick(now) }
            if (allHeld()) settled()
            delay(if (changes == 0 && allHeld()) interval else intervalAfterChange)
        }
    }

    /** Reads all records, writes what is decided about them, and returns how many writes were tried. */
    suspend fun pass(): Either<StoreFailure, Int> = either {
        val found = store.list(ObjectKey(PREFIX)).bind().associateBy { it.key }
        val requestedAt = clock.now()
        val listed = lists.instances().bind()
        val departing = listed.filter { it.state == ListedState.DEPARTING }.map { it.id }.toSet()
        val listing = InstanceListing(listed.map { it.id }.toSet(), departing, requestedAt)
        (0 until shards).count { decide(LimitShard(it), found[keyOf(LimitShard(it))], listing) }
    }

    private fun allHeld(): Boolean = limits.use {
        (0 until shards).all { shard -> slots(LimitShard(shard)).slots.any { it.holder != null } }
    }

    private suspend fun decide(shard: LimitShard, found: VersionedObject?, listing: InstanceListing): Boolean {
        val read = decode(found) ?: return false
        val decision = limits.use { now -> decideSlots(shard, read, listing, now) } ?: return false
        val condition = read.version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        store.write(keyOf(shard), json.encodeToString(SlotRecord.serializer(), decision), condition)
            .onRight { version -> limits.use { now -> observeSlots(shard, VersionedSlots(decision, version), now) } }
        return true
    }

    private fun decode(found: VersionedObject?): VersionedSlots? {
        if (found == null) return VersionedSlots(emptySlotRecord(settings), null)
        val record = try {
            json.decodeFromString(SlotRecord.serializer(), found.value)
        } catch (exception: SerializationException) {
            logger.error { "object ${found.key} is unreadable: ${exception.message}" }
            return null
        }
        if (record.slots.size == settings.slots) return VersionedSlots(record, found.version)
        logger.error { "object ${found.key} has ${record.slots.size} slots where ${settings.slots} are expected" }
        return null
    }

    private fun keyOf(shard: LimitShard) = ObjectKey("$PREFIX$shard")

    private companion object {
        const val PREFIX = "limits/slots/"
        val interval = 5.seconds
        val intervalAfterChange = 200.milliseconds
        val json = Json
    }
}
