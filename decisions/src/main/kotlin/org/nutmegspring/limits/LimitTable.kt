package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime

/** What an instance reports to a holder about the grants of one organisation. */
data class OrganisationReturn(
    val organisation: OrganisationId,
    val grant: GrantReturn,
)

/**
 * The limits of all organisations at one instance: the slots it holds and a ledger for each organisation in use.
 *
 * A ledger is created when it is first needed, and removed when a new one would know as much.
 *
 * The class is not safe for concurrent use.
 */
class LimitTable internal constructor(
    private val settings: LimitSettings,
    private val shards: Int,
    private val self: SlotHolder,
    private val buckets: TokenBucketFactory,
) {
    private val keepers = List(shards) { slotKeeper(settings, LimitShard(it), self) }
    private val ledgers = HashMap<OrganisationId, OrganisationLedger>()
    private val active = LinkedHashSet<OrganisationId>()
    private var limits: Map<OrganisationId, TokenRate> = emptyMap()
    private var nextAsk = 0L

    /** How many organisations have a ledger. */
    val ledgerCount: Int get() = ledgers.size

    /** Returns the shard of [organisation]. */
    fun shardOf(organisation: OrganisationId): LimitShard = limitShard(organisation, shards)

    /** Applies the limits of a new configuration. An organisation that is not in [changed] is refused everything. */
    fun apply(changed: Map<OrganisationId, TokenRate>, now: MonotonicTime) {
        limits = changed
        ledgers.forEach { (organisation, ledger) -> ledger.apply(changed[organisation] ?: noTokens, now) }
    }

    /** Returns the ledger of [organisation], or null when the organisation is not configured. */
    fun ledger(organisation: OrganisationId, now: MonotonicTime): OrganisationLedger? {
        val limit = limits[organisation] ?: return null
        active.add(organisation)
        return ledgers.getOrPut(organisation) { create(organisation, limit, now) }
    }

    /** Returns the ledger of [organisation] for a report about its grants, which may no longer be configured. */
    fun existingLedger(organisation: OrganisationId): OrganisationLedger? = ledgers[organisation]

    /** Removes and returns the reports that are due, by the holder that receives them. */
    fun takeReports(now: MonotonicTime): Map<InstanceId, List<OrganisationReturn>> {
        val reports = active.flatMap { organisation ->
            ledgers[organisation]?.takeReports(now).orEmpty().map { OrganisationReturn(organisation, it) }
        }
        active.removeIf { ledgers[it]?.hasGrants() != true }
        return reports.groupBy { it.grant.holder }
    }

    /** Returns for how many slots of all shards this instance mints at [now]. */
    fun mintingSlots(now: MonotonicTime): Int = keepers.sumOf { it.minting(now) }

    /** Returns the record of [shard] as it was last observed. */
    fun slots(shard: LimitShard): SlotRecord = keepers[shard.number].record

    /** Decides about the slots of [shard] as [SlotKeeper.decide] does, and stops minting for those it hands back. */
    fun decideSlots(shard: LimitShard, read: ReadSlots, listing: InstanceListing, now: MonotonicTime): SlotRecord? {
        val decision = keepers[shard.number].decide(read, listing, now)
        assign(now) { it == shard }
        return decision
    }

    /** Takes the record of [shard] that this process has just written. */
    fun observeSlots(shard: LimitShard, written: ReadSlots, now: MonotonicTime) {
        keepers[shard.number].observe(written, now)
        assign(now) { it == shard }
    }

    /** Takes the record of [shard] from a peer, to know whom to ask as long as the store has not been read. */
    fun hintSlots(shard: LimitShard, record: SlotRecord, now: MonotonicTime) {
        keepers[shard.number].hint(record)
        assign(now) { it == shard }
    }

    /** Begins to mint for the slots that are due, and removes the ledgers that are not needed. */
    fun tick(now: MonotonicTime) {
        assign(now) { true }
        ledgers.entries.removeIf { (organisation, ledger) -> organisation in limits && ledger.isIdle(now) }
    }

    /** Stops minting for good. The decisions that follow hand all slots back. */
    fun stop(now: MonotonicTime) {
        keepers.forEach { it.stop() }
        assign(now) { true }
    }

    private fun assign(now: MonotonicTime, affected: (LimitShard) -> Boolean) {
        ledgers.forEach { (organisation, ledger) ->
            val shard = shardOf(organisation)
            if (affected(shard)) assign(ledger, keepers[shard.number], now)
        }
    }

    private fun assign(ledger: OrganisationLedger, keeper: SlotKeeper, now: MonotonicTime) {
        ledger.assign(keeper.record.countByInstance(), keeper.minting(now), now)
    }

    private fun create(organisation: OrganisationId, limit: TokenRate, now: MonotonicTime): OrganisationLedger {
        val keeper = keepers[shardOf(organisation).number]
        val minting = keeper.minting(now)
        val level = keeper.unusedLevel(settings.bucketRate(limit, 1), now)
        val bucket = buckets(settings.bucketRate(limit, minting), level, now)
        val ledger = OrganisationLedger(settings, self.instance, limit, minting, bucket, { nextAsk++ }, now)
        assign(ledger, keeper, now)
        return ledger
    }

    private companion object {
        val noTokens = TokenRate(0, 0)
    }
}

/** Returns the limits of the process [self], whose organisations are divided into [shards] shards. */
fun limitTable(
    settings: LimitSettings,
    shards: Int,
    self: SlotHolder,
    buckets: TokenBucketFactory = ::tokenBucket,
): LimitTable = LimitTable(settings, shards, self, buckets)
