package org.nutmegspring.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * What one iteration of an engine takes.
 *
 * @property iteration the part that does not depend on the work
 * @property prefillToken the time for each prompt token that is processed
 * @property stream the time for each request that generates
 * @property prefillTokensPerIteration the most prompt tokens that one iteration processes
 */
data class EngineCost(
    val iteration: Duration = 4.milliseconds,
    val prefillToken: Duration = 15.microseconds,
    val stream: Duration = 100.microseconds,
    val prefillTokensPerIteration: Long = 2_000,
) {
    /** Returns the time of an iteration over [prefillTokens] and [streams]. */
    fun of(prefillTokens: Long, streams: Int): Duration =
        iteration + prefillToken * prefillTokens.toDouble() + stream * streams
}
