package org.nutmegspring.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The times of a lease.
 *
 * @property duration how long a lease runs without renewal
 * @property renewEvery the time between renewals
 * @property readEvery the time between two reads of a lease that another process holds
 * @property clockRateBound the greatest relative error of the rate of any process's monotonic clock
 */
data class LeaseTiming(
    val duration: Duration = 6.seconds,
    val renewEvery: Duration = 1500.milliseconds,
    val readEvery: Duration = 1.seconds,
    val clockRateBound: Double = 0.005,
) {
    /**
     * Returns how long this process has to wait on its own clock, so that at least [span] has passed on the clock
     * of any other process.
     */
    fun outlasting(span: Duration): Duration = span * ((1 + clockRateBound) / (1 - clockRateBound))
}
