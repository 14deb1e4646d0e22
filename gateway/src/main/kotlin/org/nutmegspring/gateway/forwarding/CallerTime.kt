package org.nutmegspring.gateway.forwarding

import kotlin.time.Duration

/**
 * The time that the caller of a request still waits.
 *
 * @property untilCut after which the answer is cut off; zero if the caller's time is over, or may be
 * @property readDelay how long the request may have waited unread; endpoints are given so much less
 */
internal data class CallerTime(val untilCut: Duration, val readDelay: Duration) {
    companion object {
        /**
         * Returns the time of a caller that waits for [maximum] from the moment at which it sent its request.
         *
         * The head of the request was read [sinceHead] ago, and may have waited unread for [readDelay] before. That is
         * not known, so that it does not cut off an answer; but nothing is sent to an endpoint for a caller that may
         * have left.
         */
        fun compute(maximum: Duration, sinceHead: Duration, readDelay: Duration): CallerTime {
            val left = maximum - sinceHead
            return CallerTime(if (left > readDelay) left else Duration.ZERO, readDelay)
        }
    }
}
