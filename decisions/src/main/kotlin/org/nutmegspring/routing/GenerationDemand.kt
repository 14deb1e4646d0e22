package org.nutmegspring.routing

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.prompt.TOKENS_PER_PIECE

/**
 * What a request for text generation asks of the engines.
 *
 * @property pieces chained hashes of the whole pieces of the prompt, first piece first
 * @property outputTokens the expected number of generated tokens
 * @property origin the data centre of the instance that sends it
 */
data class GenerationDemand(
    val pieces: List<Long>,
    val promptTokens: Int,
    val outputTokens: Int,
    val origin: DataCentreId,
) {
    /** Returns the prompt tokens that an engine must process when it has the first [cachedPieces] pieces. */
    fun uncachedTokens(cachedPieces: Int): Int = maxOf(1, promptTokens - cachedPieces * TOKENS_PER_PIECE)
}

/**
 * The engines chosen for a request. Both are the same engine when it does prefill and decode. Times are in seconds.
 *
 * @property expectedFirstToken the expected delay of the first token
 * @property leastFirstToken the delay of the first token if the engine did nothing else
 * @property expectedGap the expected time between tokens
 */
data class Placement(
    val prefill: EngineView,
    val decode: EngineView,
    val expectedUncachedTokens: Int,
    val expectedFirstToken: Double,
    val leastFirstToken: Double,
    val expectedGap: Double,
)
