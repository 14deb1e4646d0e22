package org.nutmegspring.gateway.duties

import kotlinx.coroutines.delay
import org.nutmegspring.evacuation.replaceEvacuated
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
 * Scales the services whose configuration allows it by ordering endpoints, while this instance holds the duties.
 *
 * @param services returns the services of the latest configuration
 */
class EndpointOrderer(
    private val caller: DutyCaller,
    private val services: () -> Collection<ServiceDefinition>,
    private val endpoints: EndpointTable,
    private val sizing: FleetSizing,
) {
    private val planners = HashMap<ServiceId, FleetOrderPlanner>()
    private val watchedSince = HashMap<ServiceId, MonotonicTime>()
    private val lastBusyAt = HashMap<ServiceId, MonotonicTime>()

    /** Sends the orders that reach the computed fleet sizes until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_INTERVAL)
            if (caller.isHolding && endpoints.isListed) services().forEach { sendDueOrders(it) }
        }
    }

    /** Whether the first orders for [service] are still to be sent or carried out; false if it is not scaled. */
    fun isGrowing(service: ServiceId): Boolean {
        val fleet = services().find { it.id == service }?.let(::findFleet) ?: return false
        return planners[service]?.isGrowing(fleet.targets, fleet.running, caller.clock.now()) ?: true
    }

    private class Fleet(
        val policy: ScalingPolicy,
        val running: Map<DataCentreId, EndpointCounts>,
        val targets: Map<DataCentreId, EndpointCounts>,
    )

    /** Returns the running and target endpoint counts of [service], or null when it is not scaled. */
    private fun findFleet(service: ServiceDefinition): Fleet? {
        val policy = service.scaling ?: return null
        val running = countRunning(service.id)
        val targets = sizing.computeTargets(policy, running.keys) ?: return null
        val permitted = replaceEvacuated(targets, policy.maxEndpoints, endpoints.permits)
        return Fleet(policy, running.filterKeys(endpoints.permits), permitted)
    }

    private suspend fun sendDueOrders(service: ServiceDefinition) {
        val fleet = findFleet(service) ?: return
        val isIdle = isIdle(service.id) ?: return
        val planner = planners.getOrPut(service.id) {
            FleetOrderPlanner(fleet.policy.maxEndpoints, fleet.policy.startUpTime)
        }
        planner.planOrders(fleet.targets, fleet.running, isIdle, caller.clock.now()).forEach { order ->
            planner.recordSent(order, sendOrder(service.id, order), caller.clock.now())
        }
    }

    /**
     * Whether the endpoints of [service] have had no requests from any instance for [IDLE_TIME], according to the
     * latest reports. Returns null until this instance has watched the service for that long.
     */
    private fun isIdle(service: ServiceId): Boolean? {
        val now = caller.clock.now()
        val isBusy = endpoints.allStates().any { it.endpoint.service == service && it.countRequests(now) > 0 }
        if (isBusy) lastBusyAt[service] = now
        val watchedSince = watchedSince.getOrPut(service) { now }
        val quietSince = lastBusyAt[service] ?: watchedSince
        return if (now - watchedSince < IDLE_TIME) null else now - quietSince >= IDLE_TIME
    }

    /** Counts the live endpoints of [service] by data centre, including data centres where all are departing. */
    private fun countRunning(service: ServiceId): Map<DataCentreId, EndpointCounts> =
        endpoints.allStates().filter { it.endpoint.service == service }
            .groupBy { it.endpoint.dataCentre }
            .mapValues { (_, here) -> here.filter { it.endpoint.state == ListedState.LIVE }.countByKind() }

    private fun List<EndpointState>.countByKind(): EndpointCounts {
        val interruptible = count { it.endpoint.isInterruptible }
        return EndpointCounts(size - interruptible, interruptible)
    }

    private suspend fun sendOrder(service: ServiceId, order: CountOrder): Boolean {
        val kind = if (order.isInterruptible) "interruptible" else "steady"
        val subject = "${order.count} $kind of $service in ${order.dataCentre}"
        val call = EndpointOrder(service, order.dataCentre, order.isInterruptible, order.count)
        return caller.call("endpoints", subject) { holder, timeout -> orderEndpoints(call, holder, timeout) }
    }

    private companion object {
        val CHECK_INTERVAL = 500.milliseconds

        /** Longer than other instances take to report, and than the pauses in light traffic. */
        val IDLE_TIME = 1.seconds
    }
}
