package org.nutmegspring.admission

import kotlin.time.Duration

/** Whether a request is sent to engines or refused because of its expected wait. */
sealed interface QueueWaitDecision {
    /** The request is sent. */
    data object Send : QueueWaitDecision

    /** The request is refused immediately; queues are expected to be short enough after [retryAfter]. */
    data class Refuse(val retryAfter: Duration) : QueueWaitDecision
}

/**
 * Limits the queue wait at engines so that responses meet their objectives.
 *
 * For seconds at a time, prompts can arrive faster than engines process them. Engines process prompts in arrival order,
 * so the queue grows up to the admitted bound. With a bound above the objective, every response is late, and a late
 * response is worth only a fraction of one in time. Requests that would wait longer are refused before they have used
 * any engine time.
 *
 * The bound applies to the queue wait and is the same for all requests to an engine, so long prompts, which take long
 * to process, and request kinds with a short objective are not refused more often than others.
 *
 * @param objectiveShare the share of the shortest objective that a request may wait before prefill starts
 */
class QueueWaitLimit(private val objectiveShare: Double = DEFAULT_OBJECTIVE_SHARE) {
    /**
     * Decides whether to send a request whose prefill starts after [queueWait] and whose first output is expected after
     * [expectedFirstOutput].
     *
     * @param shortestObjective the shortest objective among the requests to these engines
     * @param callerTimeout the time after which the caller stops waiting
     */
    fun decide(
        queueWait: Duration,
        expectedFirstOutput: Duration,
        shortestObjective: Duration,
        callerTimeout: Duration,
    ): QueueWaitDecision {
        val excess = maxOf(queueWait - computeMaximumWait(shortestObjective), expectedFirstOutput - callerTimeout)
        return if (excess <= Duration.ZERO) QueueWaitDecision.Send else QueueWaitDecision.Refuse(excess)
    }

    /** Returns the maximum time that a request may wait before prefill starts. */
    fun computeMaximumWait(shortestObjective: Duration): Duration = shortestObjective * objectiveShare

    private companion object {
        /** Leaves time for the prefill of a typical prompt and for its first decode step. */
        const val DEFAULT_OBJECTIVE_SHARE = 0.7
    }
}
