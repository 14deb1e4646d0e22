package org.nutmegspring.execution

/**
 * A token bucket that limits retries to a fraction of the requests, so that retries cannot multiply the load on failing
 * endpoints.
 *
 * @property retryRatio the number of retries that each request adds
 * @property capacity the maximum number of unused retries; the budget starts full
 */
class RetryBudget(
    private val retryRatio: Double = 0.2,
    private val capacity: Double = 50.0,
) {
    private var available = capacity

    /** Adds [retryRatio] to the budget. */
    @Synchronized
    fun recordRequest() {
        available = minOf(capacity, available + retryRatio)
    }

    /** Consumes one retry, or returns false when none is left. */
    @Synchronized
    fun tryAcquire(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
