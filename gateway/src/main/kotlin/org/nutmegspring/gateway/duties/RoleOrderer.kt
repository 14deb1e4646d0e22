package org.nutmegspring.gateway.duties

import kotlinx.coroutines.delay
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.roles.BalancedEngine
import org.nutmegspring.roles.RoleBalancer
import org.nutmegspring.roles.RoleChange
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends orders that change the roles of engines, while this instance holds the duties.
 *
 * An engine refuses work while its role changes. The change is therefore reported to the other instances first, and
 * sent once they have received the report.
 *
 * @param propagationDelay returns the time within which the other instances receive a report from this one
 * @param isGrowing whether the first endpoint orders of a service are still to be sent or carried out
 */
class RoleOrderer(
    private val caller: DutyCaller,
    private val endpoints: EndpointTable,
    private val balancer: RoleBalancer,
    private val isGrowing: (ServiceId) -> Boolean,
    private val propagationDelay: () -> Duration,
) {
    private class PendingChange(val role: EngineRole, val announcedAt: MonotonicTime) {
        /** The estimated time until which the engine refuses work. */
        var refusesUntil: MonotonicTime = announcedAt + CHANGE_DURATION
    }

    private class ListedEngines(val ids: Set<EndpointId>, val since: MonotonicTime)

    private val clock = caller.clock

    private val changesByEngine = HashMap<EndpointId, PendingChange>()
    private val listings = HashMap<ServiceId, ListedEngines>()

    /** Sends the role changes that the balancer plans until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_INTERVAL)
            if (caller.isHolding) {
                endpoints.allStates().groupBy { it.endpoint.service }.values.forEach { sendChanges(it) }
            }
        }
    }

    private suspend fun sendChanges(serviceEndpoints: List<EndpointState>) {
        val engines = serviceEndpoints.filter {
            it.endpoint.role != null && it.endpoint.state == ListedState.LIVE &&
                endpoints.permits(it.endpoint.dataCentre)
        }
        if (engines.isEmpty() || !isListStable(engines)) return
        if (isGrowing(engines.first().endpoint.service)) return
        val now = clock.now()
        changesByEngine.values.removeIf { now - it.announcedAt > ORDER_LIFETIME }
        val changes = balancer.planChanges(engines.mapNotNull(::asBalanced)).filter { it.engine !in changesByEngine }
        if (changes.isEmpty()) return
        changes.forEach { announce(it) }
        delay(propagationDelay())
        changes.forEach { change -> endpoints.findState(change.engine)?.let { sendOrder(it, change) } }
    }

    /** Returns the engines whose change of role is about to be sent or expected to be in progress. */
    fun changingEngines(): List<EndpointId> = changesByEngine.filter { (engine, pending) ->
        clock.now() < pending.refusesUntil && endpoints.findState(engine)?.endpoint?.role != pending.role
    }.keys.toList()

    private fun announce(change: RoleChange) {
        val pending = PendingChange(change.role, clock.now())
        changesByEngine[change.engine] = pending
        endpoints.findState(change.engine)?.avoidUntil(pending.refusesUntil)
    }

    /** Whether the listed engines have not changed for [STABLE_TIME]. Engines that start together appear one by one. */
    private fun isListStable(engines: List<EndpointState>): Boolean {
        val service = engines.first().endpoint.service
        val ids = engines.map { it.endpoint.id }.toSet()
        val listed = listings[service]?.takeIf { it.ids == ids } ?: ListedEngines(ids, clock.now())
        listings[service] = listed
        return clock.now() - listed.since >= STABLE_TIME
    }

    /** Converts [state] for the balancer. An engine with a pending change counts with its new role. */
    private fun asBalanced(state: EndpointState): BalancedEngine? {
        val endpoint = state.endpoint
        val role = changesByEngine[endpoint.id]?.role ?: endpoint.role ?: return null
        return BalancedEngine(endpoint.id, role, endpoint.dataCentre, endpoint.isInterruptible, endpoint.slots)
    }

    private suspend fun sendOrder(engine: EndpointState, change: RoleChange) {
        val isAccepted =
            endpoints.permitsCalls(engine.endpoint) &&
                caller.call("role", "${change.engine} to ${roleName(change.role)}") { holder, timeout ->
                    orderRole(engine.endpoint, change.role, holder, timeout)
                }
        if (!isAccepted) changesByEngine[change.engine]?.refusesUntil = clock.now()
    }

    private fun roleName(role: EngineRole) = role.name.lowercase()

    private companion object {
        val CHECK_INTERVAL = 500.milliseconds

        /** Longer than the intervals between engines that start together, shorter than those during a release. */
        val STABLE_TIME = 700.milliseconds

        /** The duration of a role change as stated by platforms, plus a margin for the requests that run there. */
        val CHANGE_DURATION = 5.seconds

        /** An unanswered order may be carried out up to this much later; until then the engine gets no other order. */
        val ORDER_LIFETIME = 15.seconds
    }
}
