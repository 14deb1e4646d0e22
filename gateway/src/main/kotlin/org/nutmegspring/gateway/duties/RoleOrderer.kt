package org.nutmegspring.gateway.duties

import arrow.core.Either
import kotlinx.coroutines.delay
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.store.DutyCalls
import org.nutmegspring.gateway.store.DutyHolder
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.platform.ListedState
import org.nutmegspring.roles.BalancedEngine
import org.nutmegspring.roles.RoleChange
import org.nutmegspring.roles.StageBalance
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Orders roles of engines while this instance holds the duty. */
class RoleOrderer(
    private val self: InstanceId,
    private val held: () -> HeldLease?,
    private val endpoints: EndpointTable,
    private val duties: DutyCalls,
    private val balance: StageBalance,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    private class Pending(val role: EngineRole, val since: MonotonicTime)

    private val ordered = HashMap<EndpointId, Pending>()
    private var listedIds: Set<EndpointId> = emptySet()
    private var listedSince = clock.now()

    /** Orders what the balance asks for until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_EVERY)
            if (held() != null) endpoints.all().groupBy { it.endpoint.service }.values.forEach { order(it) }
        }
    }

    private suspend fun order(ofService: List<EndpointState>) {
        val engines = ofService.filter { it.endpoint.role != null && it.endpoint.state == ListedState.LIVE }
        if (engines.isEmpty() || !isSettled(engines)) return
        val now = clock.now()
        ordered.values.removeIf { now - it.since > ORDER_LIFETIME }
        val changes = balance.changes(engines.mapNotNull(::balanced)).filter { it.engine !in ordered }
        changes.forEach { change -> endpoints.state(change.engine)?.let { send(it, change) } }
    }

    /** Whether the list of engines has been the same for a while: many start one after the other. */
    private fun isSettled(engines: List<EndpointState>): Boolean {
        val ids = engines.map { it.endpoint.id }.toSet()
        if (ids != listedIds) {
            listedIds = ids
            listedSince = clock.now()
        }
        return clock.now() - listedSince >= SETTLING
    }

    /** An engine that is about to change counts as changed. */
    private fun balanced(state: EndpointState): BalancedEngine? {
        val endpoint = state.endpoint
        val role = ordered[endpoint.id]?.role ?: endpoint.role ?: return null
        return BalancedEngine(endpoint.id, role, endpoint.dataCentre)
    }

    private suspend fun send(engine: EndpointState, change: RoleChange) {
        val lease = held() ?: return
        if (!lease.covers(clock.now(), CALL_TIMEOUT)) return
        ordered[engine.endpoint.id] = Pending(change.role, clock.now())
        val sent = duties.orderRole(engine.endpoint, change.role, DutyHolder(self, lease.fencing), CALL_TIMEOUT)
        val outcome = when (sent) {
            is Either.Left -> sent.value.toString()
            is Either.Right -> "accepted"
        }
        log.record(DecisionEvent.DutyCall("role", "${change.engine} to ${nameOf(change.role)}", lease.fencing, outcome))
    }

    private fun nameOf(role: EngineRole) = role.name.lowercase()

    private companion object {
        val CHECK_EVERY = 500.milliseconds

        /** Longer than the pauses between engines that start together. */
        val SETTLING = 1500.milliseconds

        /** An order that was not answered may be carried out this much later; until then the engine is left alone. */
        val ORDER_LIFETIME = 15.seconds

        /** Well below the lease, so that a call has ended before another instance may hold it. */
        val CALL_TIMEOUT = 800.milliseconds
    }
}
