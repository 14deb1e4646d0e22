package org.nutmegspring.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The time parameters of a lease.
 *
 * @property duration how long a lease is valid without renewal
 * @property renewInterval the interval between renewals by the holder
 * @property readInterval the interval between reads of a lease that another process holds
 * @property clockRateBound the maximum relative rate error of any process's monotonic clock
 */
data class LeaseTiming(
    val duration: Duration = 6.seconds,
    val renewInterval: Duration = 1500.milliseconds,
    val readInterval: Duration = 1.seconds,
    val clockRateBound: Double = 0.005,
) {
    /**
     * Returns how long this process must wait by its own clock to be sure that at least [span] has elapsed on the
     * clock of any other process.
     */
    fun withClockMargin(span: Duration): Duration = span * ((1 + clockRateBound) / (1 - clockRateBound))
}
