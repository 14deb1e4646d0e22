package org.nutmegspring.order

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * The promises of one instance to send no new work to some engines for a while.
 *
 * The instance counts a promise from when it gave it. The process that asked counts from before it asked, and takes
 * the clock rate margin off, so that it never relies on a promise that has ended.
 *
 * @property until the ends of the promises on the clock of the instance that gave them
 */
data class QuietPromises(val until: Map<EndpointId, MonotonicTime> = emptyMap()) {
    /** Whether no new work may be sent to [engine] at [now]. */
    fun isQuiet(engine: EndpointId, now: MonotonicTime): Boolean = until[engine]?.let { now < it } ?: false

    /** Returns these promises with one more for [engine], given at [now] for [span]. Ended ones are dropped. */
    fun promise(engine: EndpointId, now: MonotonicTime, span: Duration): QuietPromises {
        val end = maxOf(until[engine] ?: now, now + span)
        return QuietPromises(until.filterValues { it > now } + (engine to end))
    }
}

/** Returns until when the process that asked at [askedAt] may rely on a promise for [span]. */
fun LeaseTiming.reliesUntil(askedAt: MonotonicTime, span: Duration): MonotonicTime =
    askedAt + span * ((1 - clockRateBound) / (1 + clockRateBound))
