package org.nutmegspring.usage

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import java.util.TreeMap

/**
 * What one process has counted itself, and the batches that it keeps for others. It is not safe for concurrent use.
 *
 * A batch is sealed about once a second and handed to another instance, its keeper. Both keep it until it is in a
 * fixed window, so the usage that ends with a process is what it counted since it last handed a batch on.
 */
class UsageLedger(
    val source: Incarnation,
    val shards: Int,
) {
    private val open = HashMap<Int, OpenBatch>()
    private val own = HashMap<Int, TreeMap<Long, OwnBatch>>()
    private val kept = HashMap<Pair<Incarnation, Int>, TreeMap<Long, UsageBatch>>()
    private val lastNumbers = HashMap<Int, Long>()
    private var lastWindow = 0L

    /** Counts [entry] in [window]. A window below one that was counted before is taken for that one. */
    fun count(entry: UsageEntry, window: Long) {
        moveTo(window)
        val shard = shardOf(entry.organisation)
        open.getOrPut(shard) { OpenBatch(lastWindow) }.add(entry)
    }

    /** Seals what was counted. [window] is the present one; an earlier one gets no more batches after that. */
    fun seal(window: Long) {
        moveTo(window)
        sealOpen()
    }

    /** Returns at most [limit] own batches that none of [members] keeps, oldest first. */
    fun unhanded(members: Set<InstanceId>, limit: Int): List<UsageBatch> =
        own.values.flatMap { it.values }.filter { it.keeper !in members }.map { it.batch }.take(limit)

    /** Notes that [keeper] keeps [batches]. */
    fun handed(batches: List<UsageBatch>, keeper: InstanceId) {
        batches.forEach { own[it.shard]?.get(it.number)?.keeper = keeper }
    }

    /** Keeps [batches] of another process. */
    fun keep(batches: List<UsageBatch>) {
        batches.forEach { kept.getOrPut(it.source to it.shard) { TreeMap() }[it.number] = it }
    }

    /** Returns the own batches of [shard] up to [window]. */
    fun ownBatches(shard: Int, window: Long): List<UsageBatch> =
        own[shard].orEmpty().values.map { it.batch }.filter { it.window <= window }

    /** Returns the batches of [shard] up to [window] that are kept for [sources]. */
    fun keptBatches(shard: Int, window: Long, sources: Set<Incarnation>): List<UsageBatch> =
        sources.flatMap { kept[it to shard].orEmpty().values }.filter { it.window <= window }

    /** Returns the other processes of which batches of [shard] are kept. */
    fun keptSources(shard: Int): Set<Incarnation> =
        kept.keys.filter { (_, ofShard) -> ofShard == shard }.mapTo(LinkedHashSet()) { (source, _) -> source }

    /** Drops the own batches of [shard] that are in fixed windows. */
    fun dropOwn(shard: Int, included: NumberRanges) {
        own[shard]?.keys?.removeIf { it in included }
    }

    /** Drops the batches kept for another process that are in fixed windows. */
    fun dropKept(source: Incarnation, shard: Int, included: NumberRanges) {
        kept[source to shard]?.keys?.removeIf { it in included }
        kept.values.removeIf { it.isEmpty() }
    }

    /** Drops the batches that are [settled]. */
    fun dropKept(settled: SettledBatches) {
        kept[settled.source to settled.shard]?.headMap(settled.firstOpen)?.clear()
        kept.values.removeIf { it.isEmpty() }
    }

    /** Drops the batches of windows below [window], which no window takes in any more. */
    fun dropBefore(window: Long) {
        own.values.forEach { batches -> batches.values.removeIf { it.batch.window < window } }
        kept.values.forEach { batches -> batches.values.removeIf { it.window < window } }
        kept.values.removeIf { it.isEmpty() }
    }

    /** Returns for each shard below which number the own batches are in fixed windows. */
    fun settled(): List<SettledBatches> = lastNumbers.map { (shard, last) ->
        SettledBatches(source, shard, own[shard]?.keys?.firstOrNull() ?: (last + 1))
    }

    /** How many batches are held, own and kept. */
    fun size(): Int = own.values.sumOf { it.size } + kept.values.sumOf { it.size }

    /** Returns the shard of [organisation]. */
    fun shardOf(organisation: OrganisationId): Int =
        Math.floorMod(Hashing.komihash5_0().hashCharsToLong(organisation.value), shards.toLong()).toInt()

    private fun moveTo(window: Long) {
        if (window <= lastWindow) return
        sealOpen()
        lastWindow = window
    }

    private fun sealOpen() {
        for ((shard, batch) in open) {
            val number = (lastNumbers[shard] ?: 0) + 1
            lastNumbers[shard] = number
            val sealed = UsageBatch(source, shard, number, batch.window, batch.entries())
            own.getOrPut(shard) { TreeMap() }[number] = OwnBatch(sealed)
        }
        open.clear()
    }

    private class OwnBatch(
        val batch: UsageBatch,
        var keeper: InstanceId? = null,
    )

    private class OpenBatch(val window: Long) {
        private val sums = HashMap<OrganisationId, UsageEntry>()

        fun add(entry: UsageEntry) {
            sums.merge(entry.organisation, entry, UsageEntry::plus)
        }

        fun entries(): List<UsageEntry> = sums.values.sortedBy { it.organisation.value }
    }
}
