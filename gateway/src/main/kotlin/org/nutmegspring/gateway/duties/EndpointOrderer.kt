package org.nutmegspring.gateway.duties

import kotlinx.coroutines.delay
import org.nutmegspring.evacuation.replaceEvacuated
import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.store.EndpointOrder
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.spending.CountOrder
import org.nutmegspring.spending.DemandSizing
import org.nutmegspring.spending.EndpointCounts
import org.nutmegspring.spending.FleetDemand
import org.nutmegspring.spending.FleetOrderPlanner
import org.nutmegspring.spending.FleetSizing
import org.nutmegspring.spending.ScalingPolicy
import org.nutmegspring.spending.SizingDecision
import org.nutmegspring.spending.SizingReason
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Scales the services whose configuration allows it by ordering endpoints, while this instance holds the duties.
 *
 * @param services returns the services of the latest configuration
 * @param sizing the targets of services that do not follow the demand, or whose demand is not known
 * @param findDemand returns the demand of the fleet on a service, null when none was measured
 */
class EndpointOrderer(
    private val caller: DutyCaller,
    private val services: () -> Collection<ServiceDefinition>,
    private val endpoints: EndpointTable,
    private val sizing: FleetSizing,
    private val findDemand: (ServiceId) -> FleetDemand?,
    private val log: DecisionLog,
) {
    private val sizings = HashMap<ServiceId, DemandSizing>()
    private val decisions = HashMap<ServiceId, SizingDecision>()
    private val planners = HashMap<ServiceId, FleetOrderPlanner>()
    private val watchedSince = HashMap<ServiceId, MonotonicTime>()
    private val lastBusyAt = HashMap<ServiceId, MonotonicTime>()

    /** Sends the orders that reach the computed fleet sizes until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_INTERVAL)
            if (!caller.isHolding) forgetTargets()
            if (caller.isHolding && endpoints.isListed) services().forEach { sendDueOrders(it) }
        }
    }

    /** The sum of the target numbers of all services, 0 while this instance does not hold the duties. */
    val targetEndpoints: Int
        get() = decisions.values.sumOf { decision -> decision.targets.values.sumOf { it.steady + it.interruptible } }

    /** Returns the demands that the targets follow. */
    fun demands(): List<FleetDemand> = decisions.values.mapNotNull { it.demand }

    /** Another holder may change the numbers meanwhile; the targets then start from what runs. */
    private fun forgetTargets() {
        sizings.clear()
        decisions.clear()
    }

    /** Whether the first orders for [service] are still to be sent or carried out; false if it is not scaled. */
    fun isGrowing(service: ServiceId): Boolean {
        val policy = services().find { it.id == service }?.scaling ?: return false
        val running = countRunning(service)
        val wholeRange = sizing.computeTargets(policy, running.keys) ?: return false
        val targets = decisions[service]?.targets ?: wholeRange
        val permitted = replaceEvacuated(targets, policy.maxEndpoints, endpoints.permits)
        val orderable = running.filterKeys(endpoints.permits)
        return planners[service]?.isGrowing(permitted, orderable, caller.clock.now()) ?: true
    }

    /** Sets the targets of [service] from its demand, or returns null when it is not scaled. */
    private fun decideTargets(
        service: ServiceDefinition,
        policy: ScalingPolicy,
        running: Map<DataCentreId, EndpointCounts>,
    ): SizingDecision? {
        val now = caller.clock.now()
        val decision = sizings.getOrPut(service.id) { DemandSizing(sizing) }
            .update(policy, service.engines?.slots, running, findDemand(service.id), now) ?: return null
        val previous = decisions.put(service.id, decision)
        if (isNews(decision, previous)) log.record(DecisionEvent.TargetsChanged(service.id, decision))
        return decision
    }

    /** An overload is news even when the whole range is ordered already: it is why nothing is lowered. */
    private fun isNews(decision: SizingDecision, previous: SizingDecision?): Boolean =
        decision.targets != previous?.targets ||
            (decision.reason == SizingReason.OVERLOADED && previous.reason != SizingReason.OVERLOADED)

    private suspend fun sendDueOrders(service: ServiceDefinition) {
        val policy = service.scaling ?: return
        val running = countRunning(service.id)
        if (sizing.computeTargets(policy, running.keys) == null) return
        val isIdle = isIdle(service.id) ?: return
        val decision = decideTargets(service, policy, running) ?: return
        val planner = planners.getOrPut(service.id) { FleetOrderPlanner(policy.maxEndpoints, policy.startUpTime) }
        val targets = replaceEvacuated(decision.targets, policy.maxEndpoints, endpoints.permits)
        val orderable = running.filterKeys(endpoints.permits)
        val now = caller.clock.now()
        planner.planOrders(targets, orderable, isIdle, now, decision.replacedElsewhere).forEach { order ->
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
