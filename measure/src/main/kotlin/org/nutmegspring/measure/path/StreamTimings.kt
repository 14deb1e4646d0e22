package org.nutmegspring.measure.path

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicLong

/** Times of streamed answers, in nanoseconds. */
internal class StreamTimings {
    /** From sending the request to the first token. */
    val firstToken = ConcurrentHistogram(GREATEST_NANOSECONDS, SIGNIFICANT_DIGITS)

    /** From one token to the next. */
    val nextToken = ConcurrentHistogram(GREATEST_NANOSECONDS, SIGNIFICANT_DIGITS)

    private val failures = AtomicLong()

    /** How many answers were not whole. */
    val failed: Long get() = failures.get()

    /** Counts an answer that was not whole. */
    fun countFailure() {
        failures.incrementAndGet()
    }

    private companion object {
        const val GREATEST_NANOSECONDS = 60_000_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}
