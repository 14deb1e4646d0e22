package org.nutmegspring.placement

/**
 * The prompt tokens that are queued for prefill at an engine, and the requests in flight there.
 *
 * Engines process prompts first in, first out. Requests of this instance count from the moment they are sent, since the
 * engines' own load reports lag behind.
 */
class EngineLoad {
    /** Prompt tokens that the engine prefills before the next request. */
    var waitingTokens: Long = 0
        private set

    /** Requests that were sent and have not ended. */
    var requests: Int = 0
        private set

    /** Adds a request with [tokens] to prefill. */
    fun addRequest(tokens: Long) {
        waitingTokens += tokens
        requests++
    }

    /** Subtracts [tokens] that the engine has prefilled or will no longer prefill. */
    fun removeTokens(tokens: Long) {
        waitingTokens = maxOf(0, waitingTokens - tokens)
    }

    /** Subtracts a request that ended. */
    fun removeRequest() {
        requests = maxOf(0, requests - 1)
    }

    /** Replaces the load by the figures that another instance reported. */
    fun replace(waitingTokens: Long, requests: Int) {
        this.waitingTokens = waitingTokens
        this.requests = requests
    }
}
