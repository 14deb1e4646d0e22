package org.nutmegspring.limits

import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What operators state of the cold endpoints of a service, and the rate in [SharedRateLimit] that follows from it.
 *
 * A cold endpoint crashes when it gets well above [requestsPerSecond]; all instances together may send it
 * [greatestCount] requests in any second. The load that this answers: 72 instances with 347 requests a second, each
 * of which may be sent to a prefilling and to a generating engine, and any of which may want the one endpoint that has
 * just started. With 9.1 requests a second, an overage of 1.5 and a slack of 5, 18 are allowed and the rate is 6.4.
 *
 * @property coldTime how long an endpoint may be cold after it starts
 * @property requestsPerSecond the requests that a cold endpoint sustains
 * @property overage the factor by which [requestsPerSecond] may be exceeded
 * @property slack further requests that are allowed in a second
 */
data class ColdPolicy(
    val coldTime: Duration,
    val requestsPerSecond: Double,
    val overage: Double,
    val slack: Double,
) {
    /** The most requests that a cold endpoint may get in any second. */
    val greatestCount: Int get() = floor(requestsPerSecond * overage + slack).toInt()

    /**
     * The rate of all instances together with which a cold endpoint gets at most [greatestCount] requests in any
     * second; zero when none is permitted.
     *
     * The requests that arrive in a second used turns that were open during it or [ARRIVAL_SPREAD] around it. Those
     * are the turns that began in the second, the spread and the open time before, and one more at either end.
     */
    val sharedRate: Double
        get() {
            val turnSeconds = (WINDOW + SHARED_TURN_OPEN_TIME + ARRIVAL_SPREAD) / 1.seconds
            return minOf(requestsPerSecond, (greatestCount - BOUNDARY_TURNS) / turnSeconds).coerceAtLeast(0.0)
        }

    private companion object {
        val WINDOW = 1.seconds

        /**
         * 100 ms for wall clocks that differ by 50 ms either way, and 400 ms for requests that take different times to
         * arrive: a connection is given up after 400 ms.
         */
        val ARRIVAL_SPREAD = 500.milliseconds

        /** A turn stays open for its spacing beyond the open time, and another one may begin at the very end. */
        const val BOUNDARY_TURNS = 2
    }
}

/**
 * The factor by which the placement expects a cold endpoint to be slower. The platform states no figure and it has not
 * been measured; it only makes the placement prefer a warm endpoint of similar load.
 */
const val COLD_SLOWDOWN = 3.0

/**
 * What a cold endpoint may get now.
 *
 * @property requestsPerSecond the rate of all instances together
 * @property remaining the longest time for which this holds, positive
 */
data class ColdAllowance(
    val requestsPerSecond: Double,
    val remaining: Duration,
)
