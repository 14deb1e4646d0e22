package org.nutmegspring.measure.routing

import org.HdrHistogram.Histogram
import org.nutmegspring.identity.OrganisationId

/** The goals for the delay of a request's tokens, in seconds. */
object LatencyGoals {
    /** From the arrival of the request to its first token. */
    const val FIRST_TOKEN_SECONDS = 0.4

    /** The mean time between the tokens of one request. */
    const val TOKEN_GAP_SECONDS = 0.059
}

/** Counts what became of the requests that arrived after the warm-up. */
class RequestOutcomes {
    private val firstTokens = Histogram(HISTOGRAM_MICROSECONDS, HISTOGRAM_DIGITS)

    /** Requests that arrived. */
    var offered: Long = 0
        private set

    /** Requests that met both latency goals. */
    var good: Long = 0
        private set

    private var promptTokens = 0L
    private var cachedTokens = 0L

    /** Share of prompt tokens that were cached. */
    val cacheHitShare: Double get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens

    /** The 95th percentile of the delay of the first token in seconds, over the requests that had one. */
    val firstTokenPercentile: Double get() = firstTokens.getValueAtPercentile(PERCENTILE) / MICROSECONDS_PER_SECOND

    /** Requests that were refused. */
    var refused: Long = 0
        private set

    private val goodByOrganisation = HashMap<OrganisationId, Int>()
    private val offeredByOrganisation = HashMap<OrganisationId, Int>()

    /** The share of requests that met both goals, of the organisation for which it is least. */
    val worstServedShare: Double
        get() = offeredByOrganisation.minOfOrNull { (id, count) -> (goodByOrganisation[id] ?: 0).toDouble() / count }
            ?: 0.0

    /** Counts a refusal. */
    fun refused() {
        refused++
    }

    /** Counts an arrival. */
    fun arrived(organisation: OrganisationId) {
        offered++
        offeredByOrganisation.merge(organisation, 1, Int::plus)
    }

    /** Counts a first token [seconds] after the arrival. */
    fun firstToken(seconds: Double, prompt: Int, cached: Int) {
        firstTokens.recordValue(minOf((seconds * MICROSECONDS_PER_SECOND).toLong(), HISTOGRAM_MICROSECONDS))
        promptTokens += prompt
        cachedTokens += cached
    }

    /** Counts the end of a request. */
    fun finished(organisation: OrganisationId, firstTokenSeconds: Double, gapSeconds: Double) {
        val inTime = firstTokenSeconds <= LatencyGoals.FIRST_TOKEN_SECONDS
        if (inTime && gapSeconds <= LatencyGoals.TOKEN_GAP_SECONDS) {
            good++
            goodByOrganisation.merge(organisation, 1, Int::plus)
        }
    }

    private companion object {
        const val HISTOGRAM_MICROSECONDS = 1_000_000_000L
        const val HISTOGRAM_DIGITS = 3
        const val MICROSECONDS_PER_SECOND = 1e6
        const val PERCENTILE = 95.0
    }
}
