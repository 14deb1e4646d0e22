package org.nutmegspring.gateway.http

/**
 * Bounds the bytes that all answers hold together: a limit on each one is no bound when many of them have no end.
 *
 * @param maximumBytes the bound; an answer of at most [SMALL_ANSWER_BYTES] is held in any case
 */
class AnswerMemory(private val maximumBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS) {
    /** The bytes that all answers hold. */
    var heldBytes = 0L
        private set

    /** The number of answers that were broken off because of the bound. */
    var refusedCount = 0L
        private set

    /** Changes what one answer holds from [held] to [wanted] bytes. Returns false if that would exceed the bound. */
    fun tryChange(held: Int, wanted: Int): Boolean {
        val isAllowed = wanted <= maxOf(held, SMALL_ANSWER_BYTES) || heldBytes - held + wanted <= maximumBytes
        if (isAllowed) heldBytes += wanted - held else refusedCount++
        return isAllowed
    }

    /** Holds the limits. */
    companion object {
        /** Larger than usual answers, so that these are delivered while others have no end. */
        const val SMALL_ANSWER_BYTES = 64 * 1024

        /** A body is copied while it grows and when it is delivered. */
        private const val HEAP_PARTS = 8
    }
}
