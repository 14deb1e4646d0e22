package org.nutmegspring.roles

import org.nutmegspring.routing.EngineCosts
import kotlin.math.ceil

/**
 * Estimates which share of a demand the engines serve within the latency goals. All times are in seconds.
 *
 * @property prefillUse the share of its time that an engine can spend on prompts before they wait too long
 * @property headroom the share of a latency goal that may be used up on average
 */
class RoleCapacity(
    private val costs: EngineCosts,
    private val firstToken: Double = 0.4,
    private val tokenGap: Double = 0.059,
    private val prefillUse: Double = 0.7,
    private val headroom: Double = 0.85,
) {
    /** Returns the share of [demand] that engines with the roles of [counts] serve in time, at most one. */
    fun servedShare(counts: RoleCounts, demand: RoleDemand): Double {
        val mixed = counts.mixed * mixedShare(demand)
        val pairs = minOf(counts.prefill * prefillShare(demand), counts.decode * decodeShare(demand))
        return minOf(1.0, mixed + pairs)
    }

    /** Returns the share of [demand]'s prompts that one prefill engine processes in time. */
    fun prefillShare(demand: RoleDemand): Double {
        val alone = costs.computePrefillSeconds(demand.longPromptTokens, 0.0)
        val use = prefillUse.coerceAtMost(maxOf(0.0, 1 - alone / (firstToken * headroom)) + LEAST_USE)
        return use * costs.computePrefillTokensPerSecond(0.0) / demand.prefillTokens
    }

    /** Returns the share of [demand]'s output that one decode engine generates in time. */
    fun decodeShare(demand: RoleDemand): Double {
        val gap = tokenGap * headroom
        val streams = (gap - costs.fixedIterationSeconds) / costs.secondsPerStream
        return streams / gap / demand.outputTokens
    }

    /** Returns the share of [demand] that one mixed engine serves in time: the most streams that meet both goals. */
    private fun mixedShare(demand: RoleDemand): Double {
        val promptPerOutput = demand.prefillTokens / demand.outputTokens
        var least = 0.0
        var most = MAXIMUM_STREAMS
        repeat(BISECTIONS) {
            val streams = (least + most) / 2
            if (meetsGoals(streams, promptPerOutput, demand)) least = streams else most = streams
        }
        return least / gap(least, promptPerOutput) / demand.outputTokens
    }

    private fun gap(streams: Double, promptPerOutput: Double): Double =
        costs.computeIterationSeconds(streams * promptPerOutput, streams)

    private fun meetsGoals(streams: Double, promptPerOutput: Double, demand: RoleDemand): Boolean {
        val budget = costs.prefillTokensPerIteration.toDouble()
        val use = streams * promptPerOutput / budget
        val iterations = ceil(demand.longPromptTokens / budget)
        val prompt = iterations * costs.computeIterationSeconds(0.0, streams) +
            costs.computeIterationSeconds(demand.longPromptTokens, streams) -
            costs.computeIterationSeconds(0.0, streams)
        val waiting = prompt / (1 - minOf(use, MOST_USE))
        return use <= prefillUse && waiting <= firstToken && gap(streams, promptPerOutput) <= tokenGap * headroom
    }

    private companion object {
        const val MAXIMUM_STREAMS = 1_000.0
        const val BISECTIONS = 20
        const val LEAST_USE = 0.2
        const val MOST_USE = 0.95
    }
}
