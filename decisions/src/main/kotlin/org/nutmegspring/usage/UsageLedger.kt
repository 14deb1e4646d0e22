package org.nutmegspring.usage

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import java.util.TreeMap

/**
 * The usage batches that this process has counted itself and those that it keeps for other processes. Not thread-safe.
 *
 * About once a second a batch is sealed and replicated to another instance, its keeper. Both retain the batch until it
 * is included in a fixed window, so a process that fails loses only the usage counted since its last replication.
 */
class UsageLedger(
    val source: Incarnation,
    val shards: Int,
) {
    private val openBatches = HashMap<Int, OpenBatch>()
    private val own = HashMap<Int, TreeMap<Long, OwnBatch>>()
    private val kept = HashMap<Pair<Incarnation, Int>, TreeMap<Long, UsageBatch>>()
    private val lastNumbers = HashMap<Int, Long>()
    private var lastWindow = 0L

    /** Counts [entry] in [window], or in the latest window so far if [window] is earlier than that. */
    fun count(entry: UsageEntry, window: Long) {
        advanceTo(window)
        val shard = shardOf(entry.organisation)
        openBatches.getOrPut(shard) { OpenBatch(lastWindow) }.add(entry)
    }

    /** Seals the open batches. [window] is the current window; earlier windows receive no more batches. */
    fun seal(window: Long) {
        advanceTo(window)
        sealOpen()
    }

    /** Returns at most [limit] own batches that none of [members] keeps, oldest first within each shard. */
    fun batchesWithoutKeeper(members: Set<InstanceId>, limit: Int): List<UsageBatch> =
        own.values.flatMap { it.values }.filter { it.keeper !in members }.map { it.batch }.take(limit)

    /** Records that [keeper] keeps the own [batches]. */
    fun recordKeeper(batches: List<UsageBatch>, keeper: InstanceId) {
        batches.forEach { own[it.shard]?.get(it.number)?.keeper = keeper }
    }

    /** Retains [batches] of another process, as their keeper. */
    fun keep(batches: List<UsageBatch>) {
        batches.forEach { kept.getOrPut(it.source to it.shard) { TreeMap() }[it.number] = it }
    }

    /** Returns the own batches of [shard] up to [window]. */
    fun ownBatches(shard: Int, window: Long): List<UsageBatch> =
        own[shard].orEmpty().values.map { it.batch }.filter { it.window <= window }

    /** Returns the batches of [shard] up to [window] that are kept for [sources]. */
    fun keptBatches(shard: Int, window: Long, sources: Set<Incarnation>): List<UsageBatch> =
        sources.flatMap { kept[it to shard].orEmpty().values }.filter { it.window <= window }

    /** Returns the processes for which batches of [shard] are kept. */
    fun keptSources(shard: Int): Set<Incarnation> =
        kept.keys.filter { (_, ofShard) -> ofShard == shard }.mapTo(LinkedHashSet()) { (source, _) -> source }

    /** Drops the own batches of [shard] that are [included] in fixed windows. */
    fun dropOwn(shard: Int, included: NumberRanges) {
        own[shard]?.keys?.removeIf { it in included }
    }

    /** Drops the batches of [shard] kept for [source] that are [included] in fixed windows. */
    fun dropKept(source: Incarnation, shard: Int, included: NumberRanges) {
        kept[source to shard]?.keys?.removeIf { it in included }
        kept.values.removeIf { it.isEmpty() }
    }

    /** Drops the kept batches that their source has reported as [settled]. */
    fun dropKept(settled: SettledBatches) {
        kept[settled.source to settled.shard]?.headMap(settled.firstOpen)?.clear()
        kept.values.removeIf { it.isEmpty() }
    }

    /** Drops the batches of windows before [window], which are too late to be included in any fixed window. */
    fun dropBefore(window: Long) {
        own.values.forEach { batches -> batches.values.removeIf { it.batch.window < window } }
        kept.values.forEach { batches -> batches.values.removeIf { it.window < window } }
        kept.values.removeIf { it.isEmpty() }
    }

    /** Returns for each shard the number below which all own batches are settled, that is, no longer retained. */
    fun settledBatches(): List<SettledBatches> = lastNumbers.map { (shard, last) ->
        SettledBatches(source, shard, own[shard]?.keys?.firstOrNull() ?: (last + 1))
    }

    /** Returns the number of retained batches, own and kept. */
    fun size(): Int = own.values.sumOf { it.size } + kept.values.sumOf { it.size }

    /** Returns the shard of [organisation]. */
    fun shardOf(organisation: OrganisationId): Int =
        Math.floorMod(Hashing.komihash5_0().hashCharsToLong(organisation.value), shards.toLong()).toInt()

    private fun advanceTo(window: Long) {
        if (window <= lastWindow) return
        sealOpen()
        lastWindow = window
    }

    private fun sealOpen() {
        for ((shard, batch) in openBatches) {
            val number = (lastNumbers[shard] ?: 0) + 1
            lastNumbers[shard] = number
            val sealed = UsageBatch(source, shard, number, batch.window, batch.entries())
            own.getOrPut(shard) { TreeMap() }[number] = OwnBatch(sealed)
        }
        openBatches.clear()
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
