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
 * Orders roles of engines while this instance holds the duty.
 *
 * An engine refuses work while it changes. So the change is told to the other instances first, and ordered when they
 * have heard of it.
 *
 * @param tellTime within which time the other instances have heard what this one tells
 * @param isGrowing whether a service's endpoints were just ordered and most are still to come
 */
class RoleOrderer(
    private val caller: DutyCaller,
    private val endpoints: EndpointTable,
    private val balance: RoleBalancer,
    private val isGrowing: (ServiceId) -> Boolean,
    private val tellTime: () -> Duration,
) {
    private class Pending(val role: EngineRole, val since: MonotonicTime) {
        /** Until when the engine refuses work, as far as is known. */
        var refusesUntil: MonotonicTime = since + CHANGE_TIME
    }

    private class ListedEngines(val ids: Set<EndpointId>, val since: MonotonicTime)

    private val clock = caller.clock

    private val ordered = HashMap<EndpointId, Pending>()
    private val lists = HashMap<ServiceId, ListedEngines>()

    /** Orders what the balance asks for until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_EVERY)
            if (caller.isHolding) endpoints.all().groupBy { it.endpoint.service }.values.forEach { order(it) }
        }
    }

    private suspend fun order(ofService: List<EndpointState>) {
        val engines = ofService.filter { it.endpoint.role != null && it.endpoint.state == ListedState.LIVE }
        if (engines.isEmpty() || !isSettled(engines)) return
        if (isGrowing(engines.first().endpoint.service)) return
        val now = clock.now()
        ordered.values.removeIf { now - it.since > ORDER_LIFETIME }
        val changes = balance.planChanges(engines.mapNotNull(::balanced)).filter { it.engine !in ordered }
        if (changes.isEmpty()) return
        changes.forEach { announce(it) }
        delay(tellTime())
        changes.forEach { change -> endpoints.state(change.engine)?.let { send(it, change) } }
    }

    /** Returns the engines that are about to change or change, as far as is known. */
    fun changing(): List<EndpointId> = ordered.filter { (engine, pending) ->
        clock.now() < pending.refusesUntil && endpoints.state(engine)?.endpoint?.role != pending.role
    }.keys.toList()

    private fun announce(change: RoleChange) {
        val pending = Pending(change.role, clock.now())
        ordered[change.engine] = pending
        endpoints.state(change.engine)?.avoid(pending.refusesUntil)
    }

    /** Whether the list of engines has been the same for a while: many start one after the other. */
    private fun isSettled(engines: List<EndpointState>): Boolean {
        val service = engines.first().endpoint.service
        val ids = engines.map { it.endpoint.id }.toSet()
        val listed = lists[service]?.takeIf { it.ids == ids } ?: ListedEngines(ids, clock.now())
        lists[service] = listed
        return clock.now() - listed.since >= SETTLING
    }

    /** An engine that is about to change counts as changed. */
    private fun balanced(state: EndpointState): BalancedEngine? {
        val endpoint = state.endpoint
        val role = ordered[endpoint.id]?.role ?: endpoint.role ?: return null
        return BalancedEngine(endpoint.id, role, endpoint.dataCentre, endpoint.isInterruptible)
    }

    private suspend fun send(engine: EndpointState, change: RoleChange) {
        val isTaken = caller.call("role", "${change.engine} to ${nameOf(change.role)}") { holder, timeout ->
            orderRole(engine.endpoint, change.role, holder, timeout)
        }
        if (!isTaken) ordered[change.engine]?.refusesUntil = clock.now()
    }

    private fun nameOf(role: EngineRole) = role.name.lowercase()

    private companion object {
        val CHECK_EVERY = 500.milliseconds

        /** Longer than the pauses between engines that start together, shorter than between those of a release. */
        val SETTLING = 700.milliseconds

        /** The time that an engine takes to change, as platforms state it, and a margin for what runs there. */
        val CHANGE_TIME = 5.seconds

        /** An order that was not answered may be carried out this much later; until then the engine is left alone. */
        val ORDER_LIFETIME = 15.seconds
    }
}
