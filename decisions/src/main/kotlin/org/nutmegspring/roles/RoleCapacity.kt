package org.nutmegspring.roles

import org.nutmegspring.routing.EngineCosts
import kotlin.math.ceil

/**
 * Estimates which share of a demand the engines serve within the latency goals. All times are in seconds.
 *
 * @property firstTokenSeconds the goal for the time to the first token
 * @property interTokenSeconds the goal for the time between output tokens
 * @property maxPrefillUtilization the share of its time that an engine can spend on prefill before prompts wait too
 * long
 * @property goalUsage the share of a latency goal that may be used up on average. It does not apply to the first-token
 * goal of mixed engines, which may be used up entirely.
 */
class RoleCapacity(
    private val costs: EngineCosts,
    private val firstTokenSeconds: Double = 0.4,
    private val interTokenSeconds: Double = 0.059,
    private val maxPrefillUtilization: Double = 0.7,
    private val goalUsage: Double = 0.85,
) {
    /** Returns the share of [demand] that engines with the roles of [counts] serve in time, at most one. */
    fun estimateServedShare(counts: RoleCounts, demand: RoleDemand): Double {
        val mixed = counts.mixed * estimateMixedShare(demand)
        val pairs = minOf(counts.prefill * estimatePrefillShare(demand), counts.decode * estimateDecodeShare(demand))
        return minOf(1.0, mixed + pairs)
    }

    /** Returns the share of [demand]'s prompts that one prefill engine processes in time. */
    fun estimatePrefillShare(demand: RoleDemand): Double {
        val unqueued = costs.computePrefillSeconds(demand.longPromptTokens, 0.0)
        val utilization = maxPrefillUtilization
            .coerceAtMost(maxOf(0.0, 1 - unqueued / (firstTokenSeconds * goalUsage)) + MIN_PREFILL_UTILIZATION)
        return utilization * costs.computePrefillTokensPerSecond(0.0) / demand.prefillTokens
    }

    /** Returns the share of [demand]'s output that one decode engine generates in time. */
    fun estimateDecodeShare(demand: RoleDemand): Double {
        val interToken = interTokenSeconds * goalUsage
        val streams = (interToken - costs.fixedIterationSeconds) / costs.secondsPerStream
        return streams / interToken / demand.outputTokens
    }

    /**
     * Returns the share of [demand] that one mixed engine serves in time, from the largest number of concurrent streams
     * that meets both goals.
     */
    private fun estimateMixedShare(demand: RoleDemand): Double {
        val promptPerOutput = demand.prefillTokens / demand.outputTokens
        var low = 0.0
        var high = MAX_STREAMS
        repeat(BISECTIONS) {
            val streams = (low + high) / 2
            if (meetsGoals(streams, promptPerOutput, demand)) low = streams else high = streams
        }
        return low / estimateInterToken(low, promptPerOutput) / demand.outputTokens
    }

    private fun estimateInterToken(streams: Double, promptPerOutput: Double): Double =
        costs.computeIterationSeconds(streams * promptPerOutput, streams)

    private fun meetsGoals(streams: Double, promptPerOutput: Double, demand: RoleDemand): Boolean {
        val tokensPerIteration = costs.prefillTokensPerIteration.toDouble()
        val utilization = streams * promptPerOutput / tokensPerIteration
        val iterations = ceil(demand.longPromptTokens / tokensPerIteration)
        val prefill = iterations * costs.computeIterationSeconds(0.0, streams) +
            costs.computeIterationSeconds(demand.longPromptTokens, streams) -
            costs.computeIterationSeconds(0.0, streams)
        val firstToken = prefill / (1 - minOf(utilization, MAX_QUEUE_UTILIZATION))
        return utilization <= maxPrefillUtilization && firstToken <= firstTokenSeconds &&
            estimateInterToken(streams, promptPerOutput) <= interTokenSeconds * goalUsage
    }

    private companion object {
        const val MAX_STREAMS = 1_000.0
        const val BISECTIONS = 20

        /** Added to the utilization that the first-token goal allows, so that it is never zero. */
        const val MIN_PREFILL_UTILIZATION = 0.2

        /** Keeps the estimated queueing delay finite as the utilization approaches one. */
        const val MAX_QUEUE_UTILIZATION = 0.95
    }
}
