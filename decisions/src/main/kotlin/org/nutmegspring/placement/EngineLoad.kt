package org.nutmegspring.placement

/**
 * The prompt tokens that wait to be read at an engine, and the requests that run there.
 *
 * Engines read in the order of arrival. Own work counts from the moment it is sent, since reports of engines lag.
 */
class EngineLoad {
    /** Tokens that the engine reads before the next request. */
    var waitingTokens: Long = 0
        private set

    /** Requests that were sent and have not ended. */
    var requests: Int = 0
        private set

    /** Adds a request with [tokens] to read. */
    fun sent(tokens: Long) {
        waitingTokens += tokens
        requests++
    }

    /** Takes off [tokens] that the engine has read, or will not read any more. */
    fun read(tokens: Long) {
        waitingTokens = maxOf(0, waitingTokens - tokens)
    }

    /** Takes off a request that ended. */
    fun ended() {
        requests = maxOf(0, requests - 1)
    }

    /** Replaces the load by what another instance told. */
    fun replace(waitingTokens: Long, requests: Int) {
        this.waitingTokens = waitingTokens
        this.requests = requests
    }
}
