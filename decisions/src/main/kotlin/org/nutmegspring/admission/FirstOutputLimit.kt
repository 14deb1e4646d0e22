package org.nutmegspring.admission

import kotlin.time.Duration

/** Whether a request is sent to engines, given when its first output is expected. */
sealed interface FirstOutputVerdict {
    /** It is sent. */
    data object Send : FirstOutputVerdict

    /** It is refused at once; queues are expected to be short enough after [comeBackAfter]. */
    data class Refuse(val comeBackAfter: Duration) : FirstOutputVerdict
}

/**
 * Keeps queues at engines so short that answers keep their objectives.
 *
 * Load pattern: prompts arrive faster than engines read them, for seconds at a time. Engines read in the order of
 * arrival, so the queue grows up to what is let in: a bound above the objective makes every answer late, and a late
 * answer is worth a part of one in time. What would wait longer is refused while it has not cost anything.
 *
 * The bound is on the wait and the same for all requests to an engine. A long prompt, which takes long to read, and a
 * kind with a short objective are so refused no more often than others.
 *
 * @param share the part of the shortest objective that a request may wait before it is read
 */
class FirstOutputLimit(private val share: Double = DEFAULT_SHARE) {
    /**
     * Decides on a request that is read after [wait] and whose first output is [expected] from now.
     *
     * @param shortestObjective the shortest objective among the requests to these engines
     * @param patience the time after which the caller leaves
     */
    fun decide(
        wait: Duration,
        expected: Duration,
        shortestObjective: Duration,
        patience: Duration,
    ): FirstOutputVerdict {
        val excess = maxOf(wait - longestWait(shortestObjective), expected - patience)
        return if (excess <= Duration.ZERO) FirstOutputVerdict.Send else FirstOutputVerdict.Refuse(excess)
    }

    /** Returns how long a request may wait before it is read. */
    fun longestWait(shortestObjective: Duration): Duration = shortestObjective * share

    private companion object {
        /** Leaves time for reading a usual prompt and for its first step. */
        const val DEFAULT_SHARE = 0.7
    }
}
