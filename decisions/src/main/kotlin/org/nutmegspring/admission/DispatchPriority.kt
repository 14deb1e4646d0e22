package org.nutmegspring.admission

import kotlin.time.Duration

/**
 * Sets the priority with which a request is sent to an engine; 0 is admitted first, 9 last.
 *
 * Load pattern: for seconds at a time engines hold requests that will be late whatever is done, in front of others that
 * could be on time. The engines order by the priority that comes with a request, so that instances need no messages to
 * agree on an order. The urgency comes first: a request never precedes one of a more urgent class. Within a class
 * late requests go behind the others, where the priorities leave room for that. They are admitted whenever the engine
 * has no other request of the class, and as requests are refused when queues are long, it soon has none.
 *
 * @param urgencies the urgencies of all requests to these engines
 */
class DispatchPriority(urgencies: Collection<Int>) {
    private val levels = urgencies.map { it.coerceIn(PRIORITIES) }.distinct().sorted()
    private val hasFreeValues = levels.all { it + 1 in PRIORITIES && it + 1 !in levels }

    /** Returns the priority of a request; [isLate] if its first output is not expected within its objective. */
    fun find(urgency: Int, isLate: Boolean): Int {
        val level = urgency.coerceIn(PRIORITIES)
        val rank = levels.indexOf(level)
        return when {
            rank < 0 || levels.size > MAXIMUM_LEVELS -> level
            hasFreeValues -> if (isLate) level + 1 else level
            else -> if (isLate) 2 * rank + 1 else 2 * rank
        }
    }

    /** Whether requests are late. */
    companion object {
        private val PRIORITIES = 0..9

        /** Each level takes two of the ten priorities. With more levels requests keep their urgency as priority. */
        private const val MAXIMUM_LEVELS = 5

        /** Whether the first output is expected after [objective], [elapsed] after the request was received. */
        fun isLate(elapsed: Duration, expectedFirstOutput: Duration, objective: Duration): Boolean =
            elapsed + expectedFirstOutput > objective
    }
}
