package org.nutmegspring.spending

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What one process was asked for since its start, for one service.
 *
 * @property promptTokens the prompt tokens that no engine chosen for them had cached
 * @property outputMilliseconds the time for which the outputs hold engine slots
 * @property refusedTokens the part of [promptTokens] whose requests were refused because no engine could be in time
 */
data class DemandCounts(
    val promptTokens: Long = 0,
    val outputMilliseconds: Long = 0,
    val refusedTokens: Long = 0,
)

/**
 * The demand of the whole fleet on the engines of one service.
 *
 * @property promptTokensPerMillisecond the greatest rate of uncached prompt tokens in the history
 * @property outputSlots the greatest number of engine slots that outputs held at a time in the history
 * @property refusedShare the share of the prompt tokens of the last seconds whose requests were refused
 * @property isComplete whether the history covers a whole swing of the demand
 */
data class FleetDemand(
    val promptTokensPerMillisecond: Double,
    val outputSlots: Double,
    val refusedShare: Double,
    val isComplete: Boolean,
) {
    /** Returns the demand [factor] times as high. */
    fun scaled(factor: Double): FleetDemand =
        copy(promptTokensPerMillisecond = promptTokensPerMillisecond * factor, outputSlots = outputSlots * factor)
}

/**
 * Measures the demand of the fleet on one service from counts that each process reports.
 *
 * Counts grow from the start of a process, so that a later report also covers what a lost one told. The rate of a
 * process is taken between two of its reports, by its own clock, and counts until its report expires. Instances without
 * a valid rate are assumed to receive the mean of the others. When fewer than half have one, nothing is measured.
 */
class FleetDemandEstimate {
    private class Source(val counts: DemandCounts, val countedAt: Duration) {
        var rate: Rate? = null
        var validUntil = MonotonicTime.ZERO
    }

    private class Rate(val promptTokens: Double, val outputMilliseconds: Double, val refusedTokens: Double) {
        operator fun plus(other: Rate) = Rate(
            promptTokens + other.promptTokens,
            outputMilliseconds + other.outputMilliseconds,
            refusedTokens + other.refusedTokens,
        )

        operator fun times(factor: Double) =
            Rate(promptTokens * factor, outputMilliseconds * factor, refusedTokens * factor)
    }

    private class Sample(val at: MonotonicTime, val rate: Rate, val isWarmUp: Boolean)

    private val sources = HashMap<Incarnation, Source>()
    private val samples = ArrayDeque<Sample>()
    private var trafficSince: MonotonicTime? = null
    private var coveredSince: MonotonicTime? = null

    /**
     * Records the [counts] that [process] reported, as they were [countedAt] after its start. They are valid for
     * [lifetime] from [now].
     */
    fun record(
        process: Incarnation,
        counts: DemandCounts,
        countedAt: Duration,
        lifetime: Duration,
        now: MonotonicTime,
    ) {
        val last = sources[process]
        val elapsed = if (last == null) Duration.ZERO else countedAt - last.countedAt
        if (last != null && elapsed < MINIMUM_INTERVAL) {
            last.validUntil = now + lifetime
            return
        }
        sources[process] = Source(counts, countedAt).also {
            it.rate = last?.let { before -> computeRate(before.counts, counts, elapsed) }
            it.validUntil = now + lifetime
        }
    }

    private fun computeRate(before: DemandCounts, after: DemandCounts, elapsed: Duration): Rate {
        val milliseconds = elapsed.toDouble(DurationUnit.MILLISECONDS)

        fun rateOf(grown: Long) = maxOf(0, grown) / milliseconds
        return Rate(
            rateOf(after.promptTokens - before.promptTokens),
            rateOf(after.outputMilliseconds - before.outputMilliseconds),
            rateOf(after.refusedTokens - before.refusedTokens),
        )
    }

    /** Adds the present demand of a fleet of [instances] to the history. */
    fun sample(instances: Int, now: MonotonicTime) {
        sources.values.removeIf { now >= it.validUntil }
        samples.removeAll { now - it.at > HISTORY }
        val rates = sources.values.mapNotNull { it.rate }
        if (rates.isEmpty() || rates.size < instances * MINIMUM_COVERAGE) {
            coveredSince = null
            return
        }
        val total = rates.reduce(Rate::plus) * maxOf(1.0, instances.toDouble() / rates.size)
        trackTraffic(total.promptTokens > 0, now)
        val isWarmUp = trafficSince?.let { now - it < WARM_UP } ?: true
        if (trafficSince != null || samples.isNotEmpty()) samples.addLast(Sample(now, total, isWarmUp))
    }

    /** Single requests before the traffic are no history of it: the history begins anew after a pause. */
    private fun trackTraffic(hasTraffic: Boolean, now: MonotonicTime) {
        if (hasTraffic) {
            trafficSince = trafficSince ?: now
            coveredSince = coveredSince ?: now
        } else {
            coveredSince = null
            // After longer traffic caches stay warm.
            if (samples.all { it.isWarmUp }) trafficSince = null
        }
    }

    private fun isComplete(now: MonotonicTime): Boolean =
        coveredSince?.let { now - it >= COMPLETE_HISTORY } ?: false

    /** Returns the demand at [now], or null when none was measured in the last seconds. */
    fun read(now: MonotonicTime): FleetDemand? {
        val last = samples.lastOrNull() ?: return null
        if (now - last.at > SAMPLE_LIFETIME) return null
        val recent = samples.filter { now - it.at <= REFUSAL_WINDOW }
        val peaks = samples.filterNot { it.isWarmUp }.ifEmpty { samples }
        val recentTokens = recent.sumOf { it.rate.promptTokens }
        return FleetDemand(
            promptTokensPerMillisecond = peaks.maxOf { it.rate.promptTokens },
            outputSlots = peaks.maxOf { it.rate.outputMilliseconds },
            refusedShare = if (recentTokens > 0) recent.sumOf { it.rate.refusedTokens } / recentTokens else 0.0,
            isComplete = isComplete(now),
        )
    }

    private companion object {
        /** Rates over a shorter time are dominated by the sizes of single prompts. */
        val MINIMUM_INTERVAL = 500.milliseconds

        /** More than two swings of 13 s, the longest that are known. */
        val HISTORY = 30.seconds

        /** While caches are empty, each shared part is prefilled once more. That is no measure of later demand. */
        val WARM_UP = 4.seconds

        /** A swing of 11 s after the warm-up. */
        val COMPLETE_HISTORY = 15.seconds
        val SAMPLE_LIFETIME = 10.seconds
        val REFUSAL_WINDOW = 4.seconds

        /** With fewer rates the mean says little about the instances that are missing. */
        const val MINIMUM_COVERAGE = 0.5
    }
}
