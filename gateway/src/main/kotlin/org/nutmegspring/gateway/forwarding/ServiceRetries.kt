package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.retries.RetryBudget
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.usage.WindowCounts
import kotlin.time.Duration

/**
 * Bounds on retries, over all instances.
 *
 * @property ratio retries allowed per request
 * @property extra retries allowed per window beyond the ratio
 */
data class RetryBounds(
    val ratio: Double,
    val extra: Double,
    val window: Duration,
)

/** The retry budgets of all services at this instance. */
class ServiceRetries(
    private val clock: MonotonicClock,
    private val bounds: () -> RetryBounds?,
    private val instances: () -> Int,
) {
    private val budgets = HashMap<ServiceId, RetryBudget>()

    /** Records a request for [service]. */
    fun recordRequest(service: ServiceId) {
        budget(service)?.recordRequest(clock.now())
    }

    /** Whether one retry is allowed. */
    fun isRetryAllowed(service: ServiceId): Boolean = budget(service)?.isRetryAllowed(clock.now(), instances()) ?: true

    /** Acquires one retry for [service] if allowed. */
    fun tryAcquire(service: ServiceId): Boolean = budget(service)?.tryAcquire(clock.now(), instances()) ?: true

    private fun budget(service: ServiceId): RetryBudget? = budgets[service]
        ?: bounds()?.let { RetryBudget(it.ratio, it.extra, it.window) }?.also { budgets[service] = it }
}

/** Counts the requests that started to run, for the usage reports. */
class UsageCounter(private val counts: WindowCounts) {
    /** Counts [request], which started at [atMilliseconds] since the epoch. */
    fun recordStart(request: AdmittedRequest, atMilliseconds: Long) {
        val organisation: OrganisationId = request.organisation?.id ?: return
        counts.recordStart(organisation, atMilliseconds)
    }

    /** Returns the counts by window. */
    fun snapshot(): Map<Long, Map<OrganisationId, Long>> = counts.snapshot()

    /** Returns the sums of the counts of [window] and of [others], which are those of other processes. */
    fun sumWith(window: Long, others: List<Map<OrganisationId, Long>>): Map<OrganisationId, Long> {
        val sums = HashMap<OrganisationId, Long>()
        (others + listOfNotNull(snapshot()[window])).forEach { part ->
            part.forEach { (organisation, count) -> sums.merge(organisation, count, Long::plus) }
        }
        return sums
    }
}

/** Returns the maximum time to serve a request on [route] whose caller waits for [timeLeft], null if not stated. */
internal fun computeMaximumWait(route: Route, timeLeft: Duration?): Duration =
    if (timeLeft == null) route.timeout else minOf(route.timeout, timeLeft)
