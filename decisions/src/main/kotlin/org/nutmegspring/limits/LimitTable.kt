package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime

/** A report to a holder about a grant of one organisation's tokens. */
data class OrganisationReturn(
    val organisation: OrganisationId,
    val grant: GrantReturn,
)

/**
 * The limits of all organisations at one instance: the slots it holds and a ledger for each organisation in use.
 *
 * A ledger is created on first use and removed once it has no state that a new ledger would lack.
 *
 * The class is not safe for concurrent use.
 */
class LimitTable internal constructor(
    private val settings: LimitSettings,
    private val shards: Int,
    private val self: SlotHolder,
    private val bucketFactory: TokenBucketFactory,
) {
    private val slotManagers = List(shards) { slotManager(settings, LimitShard(it), self) }
    private val ledgers = HashMap<OrganisationId, OrganisationLedger>()
    private val activeOrganisations = LinkedHashSet<OrganisationId>()
    private var limits: Map<OrganisationId, TokenRate> = emptyMap()
    private var nextRequestNumber = 0L

    /** The number of organisations with a ledger. */
    val ledgerCount: Int get() = ledgers.size

    /** Returns the shard of [organisation]. */
    fun shardOf(organisation: OrganisationId): LimitShard = limitShard(organisation, shards)

    /** Applies the limits of a new configuration. An organisation that [newLimits] lacks is refused all tokens. */
    fun apply(newLimits: Map<OrganisationId, TokenRate>, now: MonotonicTime) {
        limits = newLimits
        ledgers.forEach { (organisation, ledger) -> ledger.apply(newLimits[organisation] ?: noTokens, now) }
    }

    /** Returns the ledger of [organisation], created if absent, or null if the organisation is not configured. */
    fun ledger(organisation: OrganisationId, now: MonotonicTime): OrganisationLedger? {
        val limit = limits[organisation] ?: return null
        activeOrganisations.add(organisation)
        return ledgers.getOrPut(organisation) { createLedger(organisation, limit, now) }
    }

    /**
     * Returns the ledger of [organisation], or null if there is none.
     *
     * Unlike [ledger] it also finds an organisation that is no longer configured, whose grants may still be reported.
     */
    fun existingLedger(organisation: OrganisationId): OrganisationLedger? = ledgers[organisation]

    /** Removes and returns the pending reports, by the holder to send them to. */
    fun drainReports(now: MonotonicTime): Map<InstanceId, List<OrganisationReturn>> {
        val reports = activeOrganisations.flatMap { organisation ->
            ledgers[organisation]?.drainReports(now).orEmpty().map { OrganisationReturn(organisation, it) }
        }
        activeOrganisations.removeIf { ledgers[it]?.hasGrants() != true }
        return reports.groupBy { it.grant.holder }
    }

    /** Returns the number of slots, over all shards, whose tokens this instance generates at [now]. */
    fun activeSlotCount(now: MonotonicTime): Int = slotManagers.sumOf { it.activeSlotCount(now) }

    /** Returns the record of [shard] as it was last observed. */
    fun slots(shard: LimitShard): SlotRecord = slotManagers[shard.number].record

    /** Updates the slots of [shard] by [SlotManager.decide] and stops generating tokens of those it releases. */
    fun decideSlots(
        shard: LimitShard,
        read: VersionedSlots,
        listing: InstanceListing,
        now: MonotonicTime,
    ): SlotRecord? {
        val decision = slotManagers[shard.number].decide(read, listing, now)
        updateSlots(now) { it == shard }
        return decision
    }

    /** Applies the record of [shard] that this process has just written. */
    fun observeSlots(shard: LimitShard, written: VersionedSlots, now: MonotonicTime) {
        slotManagers[shard.number].observe(written, now)
        updateSlots(now) { it == shard }
    }

    /** Applies a peer's record of [shard], used to find the holders to ask until the store has been read. */
    fun acceptSlotHint(shard: LimitShard, record: SlotRecord, now: MonotonicTime) {
        slotManagers[shard.number].acceptHint(record)
        updateSlots(now) { it == shard }
    }

    /** Starts generating tokens of slots whose waiting time has ended, and removes idle ledgers. */
    fun tick(now: MonotonicTime) {
        updateSlots(now) { true }
        ledgers.entries.removeIf { (organisation, ledger) -> organisation in limits && ledger.isIdle(now) }
    }

    /** Stops generating tokens permanently. Subsequent decisions release all slots. */
    fun stop(now: MonotonicTime) {
        slotManagers.forEach { it.stop() }
        updateSlots(now) { true }
    }

    private fun updateSlots(now: MonotonicTime, affected: (LimitShard) -> Boolean) {
        ledgers.forEach { (organisation, ledger) ->
            val shard = shardOf(organisation)
            if (affected(shard)) updateSlots(ledger, slotManagers[shard.number], now)
        }
    }

    private fun updateSlots(ledger: OrganisationLedger, slotManager: SlotManager, now: MonotonicTime) {
        ledger.updateSlots(slotManager.record.countByInstance(), slotManager.activeSlotCount(now), now)
    }

    private fun createLedger(organisation: OrganisationId, limit: TokenRate, now: MonotonicTime): OrganisationLedger {
        val slotManager = slotManagers[shardOf(organisation).number]
        val activeSlots = slotManager.activeSlotCount(now)
        val level = slotManager.unusedLevel(settings.bucketRate(limit, 1), now)
        val bucket = bucketFactory(settings.bucketRate(limit, activeSlots), level, now)
        val ledger =
            OrganisationLedger(settings, self.instance, limit, activeSlots, bucket, { nextRequestNumber++ }, now)
        updateSlots(ledger, slotManager, now)
        return ledger
    }

    private companion object {
        val noTokens = TokenRate(0, 0)
    }
}

/** Creates the limit table of the process [self], with the organisations divided into [shards] shards. */
fun limitTable(
    settings: LimitSettings,
    shards: Int,
    self: SlotHolder,
    bucketFactory: TokenBucketFactory = ::tokenBucket,
): LimitTable = LimitTable(settings, shards, self, bucketFactory)
