package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/** A record with the version at which the store holds it, or null when the store holds none. */
data class ReadSlots(
    val record: SlotRecord,
    val version: ObjectVersion?,
)

/**
 * The platform's list of instances.
 *
 * @property departing those of [instances] that are about to be stopped
 * @property requestedAt when it was asked for, on this instance's clock
 */
data class InstanceListing(
    val instances: Set<InstanceId>,
    val departing: Set<InstanceId>,
    val requestedAt: MonotonicTime,
)

/**
 * Decides which slots of one shard an instance holds, and from when on it mints for them.
 *
 * A slot is held for the life of a process: nothing has to be renewed, so an outage of the store of any length leaves
 * every holder its slots. Another instance takes a slot over only when its holder has been absent from the platform's
 * list for longer than the list lags, counted from a moment at which the holder was already seen in the record: the
 * platform removes an instance only after it has ended, and a paused one stays listed. Whoever takes a slot over or
 * finds it handed back starts with no tokens, and only after every grant of the former holder has expired.
 *
 * A slot that is to be handed back is not minted for from the decision on, and it is handed back again and again until
 * the record shows it, because the first write may still take effect late.
 *
 * The class is not safe for concurrent use.
 */
class SlotKeeper internal constructor(
    private val settings: LimitSettings,
    private val shard: LimitShard,
    private val self: SlotHolder,
) {
    private val absentSince = HashMap<SlotHolder, MonotonicTime>()
    private val mintsFrom = HashMap<Int, MonotonicTime?>()
    private val releasing = HashSet<Int>()
    private var candidates = emptySet<InstanceId>()
    private var candidatesSince = MonotonicTime.ZERO
    private var version: ObjectVersion? = null
    private var stopped = false

    /** The record as it was last read. */
    var record: SlotRecord = emptySlotRecord(settings)
        private set

    /**
     * Takes a record that was [read] before [listing] was asked for, and returns the record to write in its place, or
     * null when nothing should change. The write must be conditional on the version that was read.
     */
    fun decide(read: ReadSlots, listing: InstanceListing, now: MonotonicTime): SlotRecord? {
        if (!observe(read, now)) return null
        noteAbsence(listing, now)
        if (stopped) return releaseAll()
        if (self.instance !in listing.instances - listing.departing) return null
        noteCandidates(listing.instances - listing.departing, now)
        val preferred = preferredHolders(shard, settings.slots, candidates)
        val taken = record.slots.indices.fold(record) { changing, slot ->
            change(changing, slot, preferred[slot], listing)
        }
        val changed = dueSlot(taken, preferred, now)?.let { taken.released(it) } ?: taken
        releasing += record.heldBy(self).filter { changed.slots[it].holder != self }
        mintsFrom -= releasing
        return changed.takeIf { it != record }
    }

    /** Takes a record that was read or written. Returns false when a later one was taken before. */
    fun observe(read: ReadSlots, now: MonotonicTime): Boolean {
        val known = version
        if (known != null && (read.version == null || read.version < known)) return false
        version = read.version
        val current = read.record
        val held = current.heldBy(self).toSet()
        releasing.retainAll(held)
        held.filter { it !in mintsFrom && it !in releasing }.forEach { slot ->
            mintsFrom[slot] = if (record.slots[slot].everHeld) now + settings.holdingTime else null
        }
        mintsFrom.keys.retainAll(held)
        record = current
        return true
    }

    /** Takes a record from a peer, which counts for nothing but whom to ask until the store has been read. */
    fun hint(fromPeer: SlotRecord) {
        if (version == null) record = fromPeer
    }

    /** Stops minting for good. Later decisions hand all slots back. */
    fun stop() {
        stopped = true
        mintsFrom.clear()
    }

    /** Returns for how many slots this instance mints at [now]. */
    fun minting(now: MonotonicTime): Int = if (stopped) 0 else mintsFrom.values.count { it == null || it <= now }

    /** Returns the level at [now] of an account that was not used since its slots were acquired. */
    fun unusedLevel(slot: BucketRate, now: MonotonicTime): Double {
        if (stopped) return 0.0
        return mintsFrom.values.sumOf { from ->
            when {
                from == null -> slot.capacity
                from > now -> 0.0
                else -> minOf(slot.capacity, slot.tokensPerSecond * (now - from).toDouble(DurationUnit.SECONDS))
            }
        }
    }

    private fun change(changing: SlotRecord, slot: Int, preferred: InstanceId, listing: InstanceListing): SlotRecord {
        val holder = changing.slots[slot].holder
        return when {
            slot in releasing -> changing.released(slot)
            holder == self -> changing
            holder?.instance == self.instance -> changing.claimed(slot, self)
            preferred != self.instance -> changing
            holder == null || isGone(holder, listing) -> changing.claimed(slot, self)
            else -> changing
        }
    }

    /** Returns a slot of this process that is due to an instance with fewer, once the list has long been the same. */
    private fun dueSlot(changing: SlotRecord, preferred: List<InstanceId>, now: MonotonicTime): Int? {
        if (releasing.isNotEmpty() || now - candidatesSince < settings.rebalanceDelay) return null
        val counts = changing.countByInstance()
        val own = counts[self.instance] ?: 0
        return changing.heldBy(self).find { (counts[preferred[it]] ?: 0) < own - 1 }
    }

    private fun noteCandidates(seen: Set<InstanceId>, now: MonotonicTime) {
        if (seen != candidates) candidatesSince = now
        candidates = seen
    }

    private fun isGone(holder: SlotHolder, listing: InstanceListing): Boolean {
        val since = absentSince[holder] ?: return false
        return listing.requestedAt - since > settings.takeOverDelay
    }

    private fun noteAbsence(listing: InstanceListing, now: MonotonicTime) {
        val holders = record.slots.mapNotNull { it.holder }.toSet()
        absentSince.keys.retainAll { it in holders && it.instance !in listing.instances }
        holders.filter { it.instance !in listing.instances }.forEach { absentSince.putIfAbsent(it, now) }
    }

    private fun releaseAll(): SlotRecord? {
        val held = record.heldBy(self)
        if (held.isEmpty()) return null
        return held.fold(record) { changing, slot -> changing.released(slot) }
    }
}

/** Returns the keeper of the slots of [shard] for the process [self]. */
fun slotKeeper(settings: LimitSettings, shard: LimitShard, self: SlotHolder): SlotKeeper =
    SlotKeeper(settings, shard, self)
