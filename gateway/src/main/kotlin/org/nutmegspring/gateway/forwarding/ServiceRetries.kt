package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.retries.RetryBudget
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.usage.WindowCounts
import kotlin.time.Duration

/**
 * Bounds on sending requests again, over all instances.
 *
 * @property ratio further sendings for each request
 * @property extra further sendings in a window beyond the ratio
 */
data class RetryBounds(
    val ratio: Double,
    val extra: Double,
    val window: Duration,
)

/** The retry budgets of all services at this instance. */
class ServiceRetries(
    private val clock: MonotonicClock,
    private val bounds: () -> RetryBounds,
    private val instances: () -> Int,
) {
    private val budgets = HashMap<ServiceId, RetryBudget>()

    /** Counts a request for [service]. */
    fun requested(service: ServiceId) = budget(service).recordRequest(clock.now())

    /** Whether one further sending is allowed. */
    fun allows(service: ServiceId): Boolean = budget(service).isRetryAllowed(clock.now(), instances())

    /** Takes one further sending to [service] when it is allowed. */
    fun take(service: ServiceId): Boolean = budget(service).tryAcquire(clock.now(), instances())

    private fun budget(service: ServiceId) = budgets.getOrPut(service) {
        bounds().let { RetryBudget(it.ratio, it.extra, it.window) }
    }
}

/** Counts the requests that began to run, for the usage reports. */
class UsageCounter(private val counts: WindowCounts) {
    /** Counts [request], which began at [atMilliseconds] since the epoch. */
    fun began(request: AdmittedRequest, atMilliseconds: Long) {
        val organisation: OrganisationId = request.organisation?.id ?: return
        counts.recordStart(organisation, atMilliseconds)
    }

    /** Returns the counts by window. */
    fun snapshot(): Map<Long, Map<OrganisationId, Long>> = counts.snapshot()
}

/** Returns how long a caller on [route] is kept at most, when it waits for [timeLeft]. */
internal fun longestWait(route: Route, timeLeft: Duration?): Duration =
    if (timeLeft == null) route.timeout else minOf(route.timeout, timeLeft)
