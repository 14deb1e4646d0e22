package org.nutmegspring.execution

/**
 * Limits retries to a share of the requests, so that they cannot multiply the load of endpoints that fail.
 *
 * @property share how many retries each request allows
 * @property reserve how many retries can be saved up
 */
class RetryBudget(
    private val share: Double = 0.2,
    private val reserve: Double = 50.0,
) {
    private var available = reserve

    /** Adds the share of one request. */
    @Synchronized
    fun onRequest() {
        available = minOf(reserve, available + share)
    }

    /** Takes one retry, or returns false when none is left. */
    @Synchronized
    fun takeRetry(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
