package org.nutmegspring.measure.engine

import org.nutmegspring.time.MonotonicTime

/** The part of a request that an engine is to do. */
enum class JobPart {
    /** Prefill and generation. */
    WHOLE,

    /** Prefill and the first token. */
    PREFILL,

    /** Generation from an imported cache. */
    DECODE,
}

/** Work for an engine. [pieces] are the chained hashes of the whole pieces of the prompt. */
class EngineJob(
    val pieces: LongArray,
    val promptTokens: Int,
    val outputTokens: Int,
    val part: JobPart,
    val listener: EngineJobListener,
) {
    internal var remainingPrefill = 0
    internal var lastIteration = 0L
}

/** Is told how a job goes. */
interface EngineJobListener {
    /** Prefill ended and the first token was generated at [time]; [cachedTokens] of the prompt were cached. */
    fun onFirstToken(time: MonotonicTime, cachedTokens: Int)

    /** The last token was generated at [time]. */
    fun onFinished(time: MonotonicTime)
}
