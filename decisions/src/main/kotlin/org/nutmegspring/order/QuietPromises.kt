package org.nutmegspring.order

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * The promises of one instance not to send new work to certain engines for a limited time.
 *
 * The instance measures a promise from when it made it. The requesting process measures it from before it sent the
 * request and subtracts the clock rate margin, so that it never relies on an expired promise.
 *
 * @property until when the promise for each engine expires, by the clock of the instance that made it
 */
data class QuietPromises(val until: Map<EndpointId, MonotonicTime> = emptyMap()) {
    /** Whether a promise forbids sending new work to [engine] at [now]. */
    fun isQuiet(engine: EndpointId, now: MonotonicTime): Boolean = until[engine]?.let { now < it } ?: false

    /**
     * Returns the unexpired promises with one for [engine] that lasts for [span] from [now], or longer if an existing
     * promise does.
     */
    fun withPromise(engine: EndpointId, now: MonotonicTime, span: Duration): QuietPromises {
        val end = maxOf(until[engine] ?: now, now + span)
        return QuietPromises(until.filterValues { it > now } + (engine to end))
    }
}

/** Returns until when a process that requested a promise for [span] at [askedAt] can rely on it. */
fun LeaseTiming.promiseValidUntil(askedAt: MonotonicTime, span: Duration): MonotonicTime =
    askedAt + span * ((1 - clockRateBound) / (1 + clockRateBound))
