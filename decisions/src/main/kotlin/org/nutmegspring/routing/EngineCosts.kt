package org.nutmegspring.routing

import kotlin.math.ceil

/**
 * The cost model of an engine with continuous batching. All times are in seconds.
 *
 * An iteration generates one token for each running stream and processes prompt tokens in the same batch.
 *
 * @property fixedIterationSeconds the fixed time of an iteration
 * @property prefillSecondsPerToken the time for each prompt token in an iteration
 * @property secondsPerStream the time for each running stream in an iteration
 * @property prefillTokensPerIteration the maximum number of prompt tokens that one iteration processes
 * @property sameDataCentreTransferSecondsPerPiece the time to transfer a cached piece within a data centre
 * @property crossDataCentreTransferSecondsPerPiece the time to transfer a cached piece to another data centre
 * @property crossDataCentreRoundTripSeconds the round-trip time to an engine in another data centre
 * @property prefillSlowdownFactor how many times longer a prompt token takes in an iteration that also decodes
 */
data class EngineCosts(
    val fixedIterationSeconds: Double = 0.010,
    val prefillSecondsPerToken: Double = 0.000_02,
    val secondsPerStream: Double = 0.000_2,
    val prefillTokensPerIteration: Int = 1_024,
    val sameDataCentreTransferSecondsPerPiece: Double = 0.004,
    val crossDataCentreTransferSecondsPerPiece: Double = 0.016,
    val crossDataCentreRoundTripSeconds: Double = 0.003,
    val prefillSlowdownFactor: Double = 1.0,
) {
    /** Returns the duration of an iteration with [prefillTokens] prompt tokens and [streams] running streams. */
    fun computeIterationSeconds(prefillTokens: Double, streams: Double): Double =
        fixedIterationSeconds + prefillTokens * computePrefillSecondsPerToken(streams) + streams * secondsPerStream

    /** Returns the time to process [tokens] prompt tokens in arrival order while [streams] streams are running. */
    fun computePrefillSeconds(tokens: Double, streams: Double): Double {
        val iterations = ceil(tokens / prefillTokensPerIteration)
        return iterations * computeIterationSeconds(0.0, streams) + tokens * computePrefillSecondsPerToken(streams)
    }

    private fun computePrefillSecondsPerToken(streams: Double): Double =
        if (streams < 1) prefillSecondsPerToken else prefillSecondsPerToken * prefillSlowdownFactor

    /** Returns the number of prompt tokens that an engine with [streams] running streams processes per second. */
    fun computePrefillTokensPerSecond(streams: Double): Double =
        prefillTokensPerIteration / computeIterationSeconds(prefillTokensPerIteration.toDouble(), streams)
}
