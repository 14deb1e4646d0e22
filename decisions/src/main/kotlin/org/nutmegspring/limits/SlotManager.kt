package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/** A slot record and its version in the store, or a null version if the store has no record. */
data class VersionedSlots(
    val record: SlotRecord,
    val version: ObjectVersion?,
)

/**
 * The platform's list of instances.
 *
 * @property departing the subset of [instances] that are about to be stopped
 * @property requestedAt when the list was requested, on this instance's clock
 */
data class InstanceListing(
    val instances: Set<InstanceId>,
    val departing: Set<InstanceId>,
    val requestedAt: MonotonicTime,
)

/**
 * Decides which slots of one shard an instance holds, and from when it generates their tokens.
 *
 * A slot is held for the life of a process. Nothing has to be renewed, so every holder keeps its slots through a store
 * outage of any length. Another instance takes a slot over only after the holder has been absent from the platform's
 * list for longer than the list's lag, measured from a time at which the record already named that holder. This is safe
 * because the platform removes an instance only after it has ended, and a paused instance stays listed. An instance
 * that takes over a slot, or claims a released one, starts with no tokens, and only after every grant of the former
 * holder has expired.
 *
 * Tokens of a slot to be released are no longer generated once that is decided. The release is written repeatedly until
 * the record shows it, because an earlier write may still take effect late.
 *
 * The class is not safe for concurrent use.
 */
class SlotManager internal constructor(
    private val settings: LimitSettings,
    private val shard: LimitShard,
    private val self: SlotHolder,
) {
    private val absentSince = HashMap<SlotHolder, MonotonicTime>()
    private val activeFrom = HashMap<Int, MonotonicTime?>()
    private val releasing = HashSet<Int>()
    private var candidates = emptySet<InstanceId>()
    private var candidatesSince = MonotonicTime.ZERO
    private var version: ObjectVersion? = null
    private var stopped = false

    /** The last observed record. Until the store has been read it may come from a peer. */
    var record: SlotRecord = emptySlotRecord(settings)
        private set

    /**
     * Decides on changes to a record that was [read] before [listing] was requested.
     *
     * Returns the record to write, conditionally on the version that was read, or null if nothing should change.
     */
    fun decide(read: VersionedSlots, listing: InstanceListing, now: MonotonicTime): SlotRecord? {
        if (!observe(read, now)) return null
        recordAbsences(listing, now)
        if (stopped) return releaseAll()
        if (self.instance !in listing.instances - listing.departing) return null
        updateCandidates(listing.instances - listing.departing, now)
        val preferred = preferredHolders(shard, settings.slots, candidates)
        val claimed = record.slots.indices.fold(record) { draft, slot ->
            updateSlot(draft, slot, preferred[slot], listing)
        }
        val changed = slotToRebalance(claimed, preferred, now)?.let { claimed.withoutHolder(it) } ?: claimed
        releasing += record.heldBy(self).filter { changed.slots[it].holder != self }
        activeFrom -= releasing
        return changed.takeIf { it != record }
    }

    /** Applies a record that was read or written. Returns false if a later version was already applied. */
    fun observe(read: VersionedSlots, now: MonotonicTime): Boolean {
        val known = version
        if (known != null && (read.version == null || read.version < known)) return false
        version = read.version
        val current = read.record
        val held = current.heldBy(self).toSet()
        releasing.retainAll(held)
        held.filter { it !in activeFrom && it !in releasing }.forEach { slot ->
            activeFrom[slot] = if (record.slots[slot].everHeld) now + settings.holdingTime else null
        }
        activeFrom.keys.retainAll(held)
        record = current
        return true
    }

    /** Uses a peer's record to find the holders to ask until the store has been read. */
    fun acceptHint(peerRecord: SlotRecord) {
        if (version == null) record = peerRecord
    }

    /** Stops generating tokens permanently. Subsequent decisions release all slots. */
    fun stop() {
        stopped = true
        activeFrom.clear()
    }

    /** Returns the number of slots whose tokens this instance generates at [now]. */
    fun activeSlotCount(now: MonotonicTime): Int =
        if (stopped) 0 else activeFrom.values.count { it == null || it <= now }

    /** Returns the level at [now] of a bucket that has not been used since its slots were acquired. */
    fun unusedLevel(slot: BucketRate, now: MonotonicTime): Double {
        if (stopped) return 0.0
        return activeFrom.values.sumOf { start ->
            when {
                start == null -> slot.capacity
                start > now -> 0.0
                else -> minOf(slot.capacity, slot.tokensPerSecond * (now - start).toDouble(DurationUnit.SECONDS))
            }
        }
    }

    private fun updateSlot(draft: SlotRecord, slot: Int, preferred: InstanceId, listing: InstanceListing): SlotRecord {
        val holder = draft.slots[slot].holder
        return when {
            slot in releasing -> draft.withoutHolder(slot)
            holder == self -> draft
            holder?.instance == self.instance -> draft.withHolder(slot, self)
            preferred != self.instance -> draft
            holder == null || canTakeOver(holder, listing) -> draft.withHolder(slot, self)
            else -> draft
        }
    }

    /**
     * Returns a slot of this process to release to an instance with fewer slots, or null if there is none.
     *
     * Slots are rebalanced only after the candidates have been unchanged for [LimitSettings.rebalanceDelay].
     */
    private fun slotToRebalance(draft: SlotRecord, preferred: List<InstanceId>, now: MonotonicTime): Int? {
        if (releasing.isNotEmpty() || now - candidatesSince < settings.rebalanceDelay) return null
        val counts = draft.countByInstance()
        val own = counts[self.instance] ?: 0
        return draft.heldBy(self).find { (counts[preferred[it]] ?: 0) < own - 1 }
    }

    private fun updateCandidates(seen: Set<InstanceId>, now: MonotonicTime) {
        if (seen != candidates) candidatesSince = now
        candidates = seen
    }

    private fun canTakeOver(holder: SlotHolder, listing: InstanceListing): Boolean {
        val since = absentSince[holder] ?: return false
        return listing.requestedAt - since > settings.takeOverDelay
    }

    private fun recordAbsences(listing: InstanceListing, now: MonotonicTime) {
        val holders = record.slots.mapNotNull { it.holder }.toSet()
        absentSince.keys.retainAll { it in holders && it.instance !in listing.instances }
        holders.filter { it.instance !in listing.instances }.forEach { absentSince.putIfAbsent(it, now) }
    }

    private fun releaseAll(): SlotRecord? {
        val held = record.heldBy(self)
        if (held.isEmpty()) return null
        return held.fold(record) { draft, slot -> draft.withoutHolder(slot) }
    }
}

/** Creates the slot manager of [shard] for the process [self]. */
fun slotManager(settings: LimitSettings, shard: LimitShard, self: SlotHolder): SlotManager =
    SlotManager(settings, shard, self)
