package org.nutmegspring.routing

import kotlin.math.ceil

/**
 * What an engine spends on an iteration of continuous batching. All times are in seconds.
 *
 * An iteration generates one token for each running stream and processes some prompt tokens beside them.
 *
 * @property iterationSeconds the fixed part of an iteration
 * @property prefillSecondsPerToken the part for each prompt token
 * @property streamSeconds the part for each running stream
 * @property prefillTokensPerIteration the most prompt tokens that one iteration processes
 * @property nearTransferSecondsPerPiece time to move a cached piece to an engine of the same data centre
 * @property farTransferSecondsPerPiece time to move a cached piece to an engine of another data centre
 * @property farRequestSeconds the round trip to an engine of another data centre
 * @property besideStreamsFactor how many times longer a prompt token takes in an iteration that also generates
 */
data class EngineCosts(
    val iterationSeconds: Double = 0.010,
    val prefillSecondsPerToken: Double = 0.000_02,
    val streamSeconds: Double = 0.000_2,
    val prefillTokensPerIteration: Int = 1_024,
    val nearTransferSecondsPerPiece: Double = 0.004,
    val farTransferSecondsPerPiece: Double = 0.016,
    val farRequestSeconds: Double = 0.003,
    val besideStreamsFactor: Double = 1.0,
) {
    /** Returns the length of an iteration with [prefillTokens] and [streams]. */
    fun iteration(prefillTokens: Double, streams: Double): Double =
        iterationSeconds + prefillTokens * prefillSecondsPerToken(streams) + streams * streamSeconds

    /** Returns the time to process [tokens] of prompts, in the order of their arrival, beside [streams]. */
    fun prefill(tokens: Double, streams: Double): Double {
        val iterations = ceil(tokens / prefillTokensPerIteration)
        return iterations * iteration(0.0, streams) + tokens * prefillSecondsPerToken(streams)
    }

    private fun prefillSecondsPerToken(streams: Double): Double =
        if (streams < 1) prefillSecondsPerToken else prefillSecondsPerToken * besideStreamsFactor

    /** Returns how many prompt tokens an engine with [streams] processes in a second. */
    fun prefillTokensPerSecond(streams: Double): Double =
        prefillTokensPerIteration / iteration(prefillTokensPerIteration.toDouble(), streams)
}
