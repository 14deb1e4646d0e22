package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * Prevents a request from taking effect after the lease under which it was sent has expired.
 *
 * The server closes a connection unless the next request is complete within [limit] of its last answer. A request that
 * is sent only while the lease outlasts that limit therefore cannot take effect after the lease.
 *
 * @property limit the request limit, measured by the clock of the server
 */
class SendLimit(
    private val timing: LeaseTiming,
    private val limit: Duration,
) {
    /** Returns when the server has certainly closed a connection on which it last answered at [answeredAt]. */
    fun connectionClosedAt(answeredAt: MonotonicTime): MonotonicTime = answeredAt + timing.withClockMargin(limit)

    /** Whether [held] has the token [fencing] and outlasts a connection whose last answer came at [answeredAt]. */
    fun isCovered(held: HeldLease?, fencing: FencingToken, answeredAt: MonotonicTime): Boolean =
        held != null && held.fencing == fencing && held.validUntil > connectionClosedAt(answeredAt)
}
