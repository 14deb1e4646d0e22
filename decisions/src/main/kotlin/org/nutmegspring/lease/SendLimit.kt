package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * The limit after which a server closes a connection on which the next request is not complete, counted from its last
 * answer. A request that is sent only while the lease outlasts the limit has no effect after the lease.
 *
 * @property limit the limit on the clock of the server
 */
class SendLimit(
    private val timing: LeaseTiming,
    private val limit: Duration,
) {
    /** The time after which nothing sent on a connection that was answered at [answeredAt] reaches the server. */
    fun closedAfter(answeredAt: MonotonicTime): MonotonicTime = answeredAt + timing.outlasting(limit)

    /** Whether [held] is the lease of [fencing] and outlasts a connection that was answered at [answeredAt]. */
    fun isCovered(held: HeldLease?, fencing: FencingToken, answeredAt: MonotonicTime): Boolean =
        held != null && held.fencing == fencing && held.validUntil > closedAfter(answeredAt)
}
