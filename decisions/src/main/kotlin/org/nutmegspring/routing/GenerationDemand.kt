package org.nutmegspring.routing

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.prompt.TOKENS_PER_PIECE

/**
 * The demand that a text generation request places on the engines.
 *
 * @property pieces the chained hashes of the complete pieces of the prompt, first piece first
 * @property outputTokens the expected number of generated tokens
 * @property origin the data centre of the instance that sends the request
 */
data class GenerationDemand(
    val pieces: List<Long>,
    val promptTokens: Int,
    val outputTokens: Int,
    val origin: DataCentreId,
) {
    /** Returns the number of prompt tokens to prefill if the first [cachedPieces] pieces are cached, at least 1. */
    fun countUncachedTokens(cachedPieces: Int): Int = maxOf(1, promptTokens - cachedPieces * TOKENS_PER_PIECE)
}

/**
 * The engines chosen for a request and the expected latency. [prefill] and [decode] are the same engine if that engine
 * does both. Times are in seconds.
 *
 * @property expectedUncachedTokens the expected number of prompt tokens that are not cached
 * @property expectedFirstTokenSeconds the expected time to first token
 * @property minimumFirstTokenSeconds the time to first token on an otherwise idle engine
 * @property expectedInterTokenSeconds the expected time between tokens
 */
data class Placement(
    val prefill: EngineView,
    val decode: EngineView,
    val expectedUncachedTokens: Int,
    val expectedFirstTokenSeconds: Double,
    val minimumFirstTokenSeconds: Double,
    val expectedInterTokenSeconds: Double,
)
