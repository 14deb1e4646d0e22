package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/** A planned request for [tokens] of [holder]. */
internal data class PlannedRequest(val holder: InstanceId, val tokens: Long)

/** Estimates the token levels of the other holders of an organisation's slots from the levels they last reported. */
internal class HolderEstimates(private val settings: LimitSettings, private val self: InstanceId) {
    private var slotCounts: Map<InstanceId, Int> = emptyMap()
    private val levels = HashMap<InstanceId, ReportedLevel>()
    private val unansweredOnce = HashSet<InstanceId>()

    /** The number of slots of each other holder. */
    val holders: Map<InstanceId, Int> get() = slotCounts

    /** Sets the number of slots of each instance and discards the levels of instances that hold none. */
    fun updateSlots(slots: Map<InstanceId, Int>) {
        slotCounts = slots - self
        levels.keys.retainAll(slotCounts.keys)
        unansweredOnce.retainAll(slotCounts.keys)
    }

    /** Records that [holder] reported a level of [tokens] at [now]. */
    fun recordLevel(holder: InstanceId, tokens: Long, now: MonotonicTime) {
        unansweredOnce.remove(holder)
        if (holder in slotCounts) levels[holder] = ReportedLevel(tokens, now)
    }

    /**
     * Records that [holder] did not answer.
     *
     * After the first failure its level counts as unknown, so that it is asked once more. After a second failure in a
     * row its level is assumed to be zero.
     */
    fun recordUnanswered(holder: InstanceId, now: MonotonicTime) {
        if (holder !in slotCounts) return
        if (unansweredOnce.add(holder)) levels.remove(holder) else levels[holder] = ReportedLevel(0, now)
    }

    /** Returns the sum of the estimated levels. [slot] is the rate of one slot. */
    fun totalEstimate(slot: BucketRate, now: MonotonicTime): Long = slotCounts.keys.sumOf { estimate(it, slot, now) }

    /**
     * Returns the grant requests that should yield [needed] tokens, or an empty list if the holders are known to have
     * fewer.
     *
     * Holders with the highest estimates are asked first. Stale estimates, older than
     * [LimitSettings.estimateLifetime], are ignored if all estimates together do not suffice, or if [distrustStale] is
     * set because they were wrong before. In that case all holders with a stale or unknown level are asked at once.
     */
    fun planRequests(needed: Long, distrustStale: Boolean, slot: BucketRate, now: MonotonicTime): List<PlannedRequest> {
        val estimates = slotCounts.keys.associateWith { estimate(it, slot, now) }
        val stale = slotCounts.keys.filter { isStale(it, now) }.toSet()
        val trusted = estimates.filterKeys { it !in stale }
        if (trusted.values.sum() >= needed) return requestFromHighest(needed, trusted)
        if (!distrustStale && estimates.values.sum() >= needed) return requestFromHighest(needed, estimates)
        if (stale.isEmpty()) return emptyList()
        val share = STALE_REQUEST_FACTOR * (needed - trusted.values.sum()).ceilingDivide(stale.size)
        val requests = trusted.map { (holder, tokens) -> PlannedRequest(holder, tokens) } +
            stale.map { PlannedRequest(it, share) }
        return requests.filter { it.tokens > 0 }
    }

    private fun requestFromHighest(needed: Long, estimates: Map<InstanceId, Long>): List<PlannedRequest> {
        var remaining = needed
        val highestFirst = estimates.entries.sortedWith(
            compareByDescending<Map.Entry<InstanceId, Long>> { it.value }.thenBy { tieBreaker(it.key) },
        )
        return highestFirst.mapNotNull { (holder, estimate) ->
            val tokens = minOf(remaining, estimate)
            remaining -= tokens
            if (tokens > 0) PlannedRequest(holder, tokens) else null
        }
    }

    private fun estimate(holder: InstanceId, slot: BucketRate, now: MonotonicTime): Long {
        val slots = slotCounts[holder] ?: return 0
        val level = levels[holder] ?: return (slot.capacity * slots).toLong()
        val generated = slot.tokensPerSecond * slots * (now - level.reportedAt).toDouble(DurationUnit.SECONDS)
        return minOf(level.tokens + generated, slot.capacity * slots).toLong()
    }

    private fun isStale(holder: InstanceId, now: MonotonicTime): Boolean {
        val level = levels[holder] ?: return true
        return now - level.reportedAt > settings.estimateLifetime
    }

    private fun tieBreaker(holder: InstanceId): Int = (self.value + holder.value).hashCode()

    private class ReportedLevel(val tokens: Long, val reportedAt: MonotonicTime)

    private companion object {
        /** Factor by which requests to holders with a stale or unknown level exceed an equal share of the shortfall. */
        const val STALE_REQUEST_FACTOR = 2
    }
}

private fun Long.ceilingDivide(divisor: Int): Long = (this + divisor - 1) / divisor
