package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/** Tokens to ask of [holder]. */
internal data class PlannedAsk(val holder: InstanceId, val tokens: Long)

/** Estimates, from what they last said, how many tokens the other holders of an organisation's slots have. */
internal class HolderEstimates(private val settings: LimitSettings, private val self: InstanceId) {
    private var slotsOf: Map<InstanceId, Int> = emptyMap()
    private val levels = HashMap<InstanceId, Level>()
    private val silent = HashSet<InstanceId>()

    /** The other holders, with the number of their slots. */
    val holders: Map<InstanceId, Int> get() = slotsOf

    /** Sets how many slots each instance holds. */
    fun assign(slots: Map<InstanceId, Int>) {
        slotsOf = slots - self
        levels.keys.retainAll(slotsOf.keys)
        silent.retainAll(slotsOf.keys)
    }

    /** Notes that [holder] has [tokens] left. */
    fun told(holder: InstanceId, tokens: Long, now: MonotonicTime) {
        silent.remove(holder)
        if (holder in slotsOf) levels[holder] = Level(tokens, now)
    }

    /** Notes that [holder] did not answer. It is asked once more before it counts as having nothing. */
    fun unreachable(holder: InstanceId, now: MonotonicTime) {
        if (holder !in slotsOf) return
        if (silent.add(holder)) levels.remove(holder) else levels[holder] = Level(0, now)
    }

    /** Returns the sum of the estimates. */
    fun total(slot: BucketRate, now: MonotonicTime): Long = slotsOf.keys.sumOf { estimate(it, slot, now) }

    /**
     * Returns from whom to ask [needed] tokens, or an empty list when the holders are known to have less.
     *
     * The holders with the greatest estimates are asked. When the estimates do not suffice, or when [doubt] is set
     * because they were wrong before, those that are older than the settings allow are not believed, and all of their
     * holders are asked at once.
     */
    fun plan(needed: Long, doubt: Boolean, slot: BucketRate, now: MonotonicTime): List<PlannedAsk> {
        val estimates = slotsOf.keys.associateWith { estimate(it, slot, now) }
        val doubtful = slotsOf.keys.filter { isDoubtful(it, now) }.toSet()
        val known = estimates.filterKeys { it !in doubtful }
        if (known.values.sum() >= needed) return cover(needed, known)
        if (!doubt && estimates.values.sum() >= needed) return cover(needed, estimates)
        if (doubtful.isEmpty()) return emptyList()
        val share = SURPLUS * (needed - known.values.sum()).ceilingDivide(doubtful.size)
        val asks = known.map { (holder, tokens) -> PlannedAsk(holder, tokens) } + doubtful.map { PlannedAsk(it, share) }
        return asks.filter { it.tokens > 0 }
    }

    private fun cover(needed: Long, estimates: Map<InstanceId, Long>): List<PlannedAsk> {
        var missing = needed
        val fullestFirst = estimates.entries.sortedWith(
            compareByDescending<Map.Entry<InstanceId, Long>> { it.value }.thenBy { preference(it.key) },
        )
        return fullestFirst.mapNotNull { (holder, estimate) ->
            val tokens = minOf(missing, estimate)
            missing -= tokens
            if (tokens > 0) PlannedAsk(holder, tokens) else null
        }
    }

    private fun estimate(holder: InstanceId, slot: BucketRate, now: MonotonicTime): Long {
        val slots = slotsOf[holder] ?: return 0
        val level = levels[holder] ?: return (slot.capacity * slots).toLong()
        val minted = slot.tokensPerSecond * slots * (now - level.at).toDouble(DurationUnit.SECONDS)
        return minOf(level.tokens + minted, slot.capacity * slots).toLong()
    }

    private fun isDoubtful(holder: InstanceId, now: MonotonicTime): Boolean {
        val level = levels[holder] ?: return true
        return now - level.at > settings.estimateLifetime
    }

    private fun preference(holder: InstanceId): Int = (self.value + holder.value).hashCode()

    private class Level(val tokens: Long, val at: MonotonicTime)

    private companion object {
        /** How much more than equal parts is asked of holders whose levels are not known. */
        const val SURPLUS = 2
    }
}

private fun Long.ceilingDivide(divisor: Int): Long = (this + divisor - 1) / divisor
