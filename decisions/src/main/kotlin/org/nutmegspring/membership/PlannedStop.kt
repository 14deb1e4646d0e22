package org.nutmegspring.membership

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The time line of a planned stop that began at [startedAt] and ends with a kill after [stopTime].
 *
 * - Until [earliestEnd] the instance listens even when it has no request, for callers that still have its address.
 * - Until [finalAnswersAt] it takes the requests that are sure to be answered by then, and waits for those that run.
 * - Then each request that still runs gets its final answer, and the answers are written until [exitAt].
 */
class PlannedStop(startedAt: MonotonicTime, stopTime: Duration) {
    /** When the process exits, before it is killed. */
    val exitAt: MonotonicTime = startedAt + (stopTime - minOf(EXIT_MARGIN, stopTime / MINIMUM_PARTS))

    /** When the requests that still run get their final answer. */
    val finalAnswersAt: MonotonicTime = exitAt - minOf(WRITE_TIME, stopTime / MINIMUM_PARTS)

    /** Until when the instance stays although it has no request. */
    val earliestEnd: MonotonicTime = minOf(startedAt + MINIMUM_DURATION, finalAnswersAt)

    /** Whether a request whose answer is due at [deadline] at the latest is sure to be answered before the end. */
    fun canAnswerBy(deadline: MonotonicTime): Boolean = deadline <= finalAnswersAt

    /** Whether the instance, [isBusy] with requests or not, goes on serving at [now]. */
    fun isServing(isBusy: Boolean, now: MonotonicTime): Boolean = now < (if (isBusy) finalAnswersAt else earliestEnd)

    private companion object {
        /** A process whose event loop is late exits before it is killed nevertheless. */
        val EXIT_MARGIN = 300.milliseconds

        /** The time in which final answers are written. */
        val WRITE_TIME = 300.milliseconds

        /** Limits the margins when the stop time is short. */
        const val MINIMUM_PARTS = 8

        /** Callers that keep an address answer for its lifetime have moved to other instances by then. */
        val MINIMUM_DURATION = 2500.milliseconds
    }
}
