package org.nutmegspring.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for dividing rate limits into slots and for sharing tokens between instances.
 *
 * @property slots the number of slots of each limit; all instances must agree on it for the life of the fleet
 * @property clockRateTolerance the maximum deviation of a monotonic clock's rate from real time, as a fraction
 * @property grantLifetime how long a receiver may spend a grant, measured from before it sent the grant request
 * @property returnAllowance how long a holder waits past the lifetime of a grant for its unspent tokens
 * @property refundRetention how long after closing a grant its holder still accepts refunds of it
 * @property prefetch the time span of expected demand that an instance requests beyond its immediate need
 * @property estimateLifetime how long an instance trusts a level reported by a holder before it counts as stale
 * @property maximumRounds the maximum number of times that an instance asks other holders for tokens for one request
 * @property rebalanceDelay how long the instance list must be unchanged before a slot moves to an instance with fewer
 * @property takeOverDelay how long a holder must be absent from the platform's instance list before its slots are taken
 *   over; it must exceed the list's maximum lag
 */
data class LimitSettings(
    val slots: Int = 9,
    val clockRateTolerance: Double = 0.001,
    val grantLifetime: Duration = 1.seconds,
    val returnAllowance: Duration = 500.milliseconds,
    val refundRetention: Duration = 60.seconds,
    val prefetch: Duration = 200.milliseconds,
    val estimateLifetime: Duration = 100.milliseconds,
    val maximumRounds: Int = 6,
    val rebalanceDelay: Duration = 30.seconds,
    val takeOverDelay: Duration = 20.seconds,
) {
    /**
     * How long a holder keeps the tokens of an unreturned grant reserved, on its own clock.
     *
     * It outlasts the grant's lifetime at the receiver even if the holder's clock is the fastest allowed and the
     * receiver's the slowest.
     */
    val holdingTime: Duration =
        grantLifetime * ((1 + clockRateTolerance) / (1 - clockRateTolerance)) + returnAllowance
}
