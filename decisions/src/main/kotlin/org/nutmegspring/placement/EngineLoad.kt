package org.nutmegspring.placement

/**
 * The prompt tokens that wait to be read at an engine, by urgency, and the requests that run there.
 *
 * Urgency 0 goes first. Own work counts from the moment it is sent, since reports of engines lag.
 */
class EngineLoad {
    private val waiting = LongArray(URGENCIES)

    /** Requests that were sent and have not ended. */
    var requests: Int = 0
        private set

    /** Adds a request with [tokens] to read. */
    fun sent(tokens: Long, urgency: Int) {
        waiting[level(urgency)] += tokens
        requests++
    }

    /** Takes off [tokens] that the engine has read, or will not read any more. */
    fun read(tokens: Long, urgency: Int) {
        val level = level(urgency)
        waiting[level] = maxOf(0, waiting[level] - tokens)
    }

    /** Takes off a request that ended. */
    fun ended() {
        requests = maxOf(0, requests - 1)
    }

    /** Returns the tokens that the engine reads before the next request. Engines read in the order of arrival. */
    fun ahead(): Long = waiting.sum()

    /** Returns the tokens that wait, by urgency. */
    fun waiting(): List<Long> = waiting.toList()

    /** Replaces the load by what another instance told. */
    fun replace(waitingTokens: List<Long>, runningRequests: Int) {
        for (level in waiting.indices) waiting[level] = waitingTokens.getOrElse(level) { 0 }
        requests = runningRequests
    }

    private fun level(urgency: Int) = urgency.coerceIn(0, URGENCIES - 1)

    /** Holds the number of urgencies. */
    companion object {
        /** Levels of urgency that are told apart; greater ones count as the last. */
        const val URGENCIES = 4
    }
}
