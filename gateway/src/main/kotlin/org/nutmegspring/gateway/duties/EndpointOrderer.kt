package org.nutmegspring.gateway.duties

import kotlinx.coroutines.delay
import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.store.EndpointOrder
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.spending.CountOrder
import org.nutmegspring.spending.EndpointCounts
import org.nutmegspring.spending.FleetOrderPlanner
import org.nutmegspring.spending.FleetSizing
import org.nutmegspring.spending.ScalingPolicy
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Orders endpoints of the services that may be scaled, while this instance holds the duty.
 *
 * @param services the services of the newest configuration
 */
class EndpointOrderer(
    private val caller: DutyCaller,
    private val services: () -> Collection<ServiceDefinition>,
    private val endpoints: EndpointTable,
    private val sizing: FleetSizing,
) {
    private val orders = HashMap<ServiceId, FleetOrderPlanner>()
    private val watchedSince = HashMap<ServiceId, MonotonicTime>()
    private val busyAt = HashMap<ServiceId, MonotonicTime>()

    /** Orders what the sizing asks for until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_EVERY)
            if (caller.isHolding && endpoints.isListed) services().forEach { order(it) }
        }
    }

    /** Whether endpoints of [service] are about to be ordered, or were just ordered and most are to come or to go. */
    fun isGrowing(service: ServiceId): Boolean {
        val fleet = services().find { it.id == service }?.let(::fleetOf) ?: return false
        return orders[service]?.isGrowing(fleet.targets, fleet.standing, caller.clock.now()) ?: true
    }

    private class Fleet(
        val terms: ScalingPolicy,
        val standing: Map<DataCentreId, EndpointCounts>,
        val targets: Map<DataCentreId, EndpointCounts>,
    )

    /** Returns what stands of [service] and what is wanted, or null when nothing is ordered for it. */
    private fun fleetOf(service: ServiceDefinition): Fleet? {
        val terms = service.scaling ?: return null
        val standing = standing(service.id)
        return sizing.computeTargets(terms, standing.keys)?.let { Fleet(terms, standing, it) }
    }

    private suspend fun order(service: ServiceDefinition) {
        val fleet = fleetOf(service) ?: return
        val isIdle = isIdle(service.id) ?: return
        val ofService = orders.getOrPut(service.id) {
            FleetOrderPlanner(fleet.terms.maxEndpoints, fleet.terms.startUpTime)
        }
        ofService.planOrders(fleet.targets, fleet.standing, isIdle, caller.clock.now()).forEach { order ->
            ofService.recordSent(order, send(service.id, order), caller.clock.now())
        }
    }

    /**
     * Whether no instance has had work at the endpoints of [service] for a while, as far as is known. Returns null as
     * long as nothing is known, after the instance took the duty.
     */
    private fun isIdle(service: ServiceId): Boolean? {
        val now = caller.clock.now()
        val isBusy = endpoints.all().any { it.endpoint.service == service && it.requests(now) > 0 }
        if (isBusy) busyAt[service] = now
        val watchedSince = watchedSince.getOrPut(service) { now }
        val quietSince = busyAt[service] ?: watchedSince
        return if (now - watchedSince < IDLE_TIME) null else now - quietSince >= IDLE_TIME
    }

    /** Counts the endpoints of [service] that take work, by data centre, also where all are about to leave. */
    private fun standing(service: ServiceId): Map<DataCentreId, EndpointCounts> =
        endpoints.all().filter { it.endpoint.service == service }
            .groupBy { it.endpoint.dataCentre }
            .mapValues { (_, here) -> here.filter { it.endpoint.state == ListedState.LIVE }.counts() }

    private fun List<EndpointState>.counts(): EndpointCounts {
        val interruptible = count { it.endpoint.isInterruptible }
        return EndpointCounts(size - interruptible, interruptible)
    }

    private suspend fun send(service: ServiceId, order: CountOrder): Boolean {
        val kind = if (order.isInterruptible) "interruptible" else "steady"
        val subject = "${order.count} $kind of $service in ${order.dataCentre}"
        val call = EndpointOrder(service, order.dataCentre, order.isInterruptible, order.count)
        return caller.call("endpoints", subject) { holder, timeout -> orderEndpoints(call, holder, timeout) }
    }

    private companion object {
        val CHECK_EVERY = 500.milliseconds

        /** Longer than the others take to report, and than calm traffic pauses. */
        val IDLE_TIME = 1.seconds
    }
}
