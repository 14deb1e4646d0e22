package org.nutmegspring.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How limits are divided and moved between instances.
 *
 * @property slots into how many slots each limit is divided; all instances must agree on it for the life of the fleet
 * @property clockRateTolerance how much faster or slower than real time a monotonic clock may run, as a fraction
 * @property grantLifetime how long a receiver may spend a grant, counted from before it asked
 * @property returnAllowance how long a holder waits past the lifetime of a grant for what was left of it
 * @property refundRetention how long after the end of a grant its holder accepts refunds
 * @property prefetch the time for whose demand an instance asks beyond its immediate need
 * @property estimateLifetime how long an instance trusts what a holder said about its level
 * @property rounds how often an instance asks others for one request
 * @property rebalanceDelay how long the list must be unchanged before a slot moves to an instance that holds fewer
 * @property takeOverDelay how long a holder must be absent from the platform's list, beyond the list's greatest lag
 */
data class LimitSettings(
    val slots: Int = 9,
    val clockRateTolerance: Double = 0.001,
    val grantLifetime: Duration = 1.seconds,
    val returnAllowance: Duration = 500.milliseconds,
    val refundRetention: Duration = 60.seconds,
    val prefetch: Duration = 200.milliseconds,
    val estimateLifetime: Duration = 100.milliseconds,
    val rounds: Int = 6,
    val rebalanceDelay: Duration = 30.seconds,
    val takeOverDelay: Duration = 20.seconds,
) {
    /**
     * How long a holder counts an unreturned grant as unspent, on its own clock.
     *
     * It ends after the receiver's lifetime of the grant even when the holder's clock is the fastest allowed and the
     * receiver's the slowest.
     */
    val holdingTime: Duration =
        grantLifetime * ((1 + clockRateTolerance) / (1 - clockRateTolerance)) + returnAllowance
}
