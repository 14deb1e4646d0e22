package org.nutmegspring.measure.lease

import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.DutyPlacement
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.measure.virtual.VirtualStore
import org.nutmegspring.node.control.EndpointOrderer
import org.nutmegspring.node.control.EngineConnections
import org.nutmegspring.node.control.EngineOrderer
import org.nutmegspring.node.control.LeaseManager
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An instance that takes duties, gives orders and sends requests to engines. */
internal class ControlInstance(
    val id: InstanceId,
    private val fleet: ControlFleet,
    private val rules: ControlRules,
) {
    private val world = fleet.world
    private val clockRate = ControlRules.clockRate(world.random)
    val process = VirtualProcess(id.value, world.schedule, clockRate, world.milliseconds(0, MOST_OFFSET_MILLISECONDS))
    val traffic = EntryTraffic(this, fleet)
    private val holder = LeaseHolder(id, Incarnation(world.random.nextLong()))
    private val store = VirtualStore(world.schedule, process, world.objects, fleet.storeFaults(id), ::pausePoint)
    private val stopping get() = fleet.isStopping(id)
    private var decisions = 0L

    /** The duties of all data centres. This instance holds some of them. */
    val duties: Map<Duty, LeaseManager> = ControlFleet.DATA_CENTRES.flatMap { dataCentre ->
        listOf(engineDuty(dataCentre), endpointDuty(dataCentre))
    }.associateBy { it.duty }

    /** Starts the coroutines of the instance. */
    fun start() {
        duties.values.forEach { keeper -> process.scope.launch { keeper.run() } }
        traffic.start()
    }

    private fun engineDuty(dataCentre: DataCentreId): LeaseManager {
        val duty = Duty.EngineOrders(dataCentre)
        lateinit var keeper: LeaseManager
        val connections = EngineConnections { engine -> connection(engine, duty).right() }
        val quiet = FleetQuiet(this, fleet, rules.asksForQuiet)
        val orderer = EngineOrderer(store, process.clock, rules.engine, connections, quiet) { keeper.heldLease() }
        keeper = keeper(duty) { orderer.isSettled() }
        fleet.engines.filter { it.description.dataCentre == dataCentre }.forEach { engine ->
            process.scope.launch {
                orderEngine(engine.description, orderer) { keeper.heldLease() != null && !stopping }
            }
        }
        return keeper
    }

    private suspend fun orderEngine(engine: EndpointDescription, orderer: EngineOrderer, inCharge: () -> Boolean) {
        while (true) {
            delay(world.milliseconds(0, MOST_REST_MILLISECONDS))
            if (!inCharge()) continue
            orderer.reconcile(engine, randomTarget())
                .onLeft { failure -> world.record("$id gave up: ${failure.message}") }
                .onRight { world.count(ControlCount.REACHED) }
        }
    }

    private fun endpointDuty(dataCentre: DataCentreId): LeaseManager {
        val keeper = keeper(Duty.EndpointOrders(dataCentre)) { true }
        val ordering = VirtualOrdering(world, process, fleet.pools, fleet.storeFaults(id), ::pausePointBeforeOrder)
        val orderer = EndpointOrderer(ordering, rules.endpoints) { keeper.heldLease() }
        process.scope.launch {
            while (true) {
                delay(world.milliseconds(0, MOST_REST_MILLISECONDS))
                if (keeper.heldLease() == null || stopping) continue
                val orderId = "$id-${decisions++}"
                orderer.reconcile(VirtualPools.pool(dataCentre), orderId) { it.target % MOST_ENDPOINTS + 1 }
            }
        }
        return keeper
    }

    private fun keeper(duty: Duty, mayRelease: () -> Boolean): LeaseManager {
        val wish = { DutyPlacement.desiredRole(duty, id, fleet.believedToRun(id)) }
        return LeaseManager(duty, holder, store, process.clock, rules.lease, wish, canRelease = mayRelease)
    }

    private fun connection(engine: EndpointDescription, duty: Duty): VirtualEngineConnection {
        val target = fleet.engines.first { it.description.id == engine.id }
        val authorised = { order: EngineOrder -> duties.getValue(duty).heldLease()?.fencing == order.fencing }
        return VirtualEngineConnection(process, target, world, fleet.engineFaults, ::pausePointBeforeOrder, authorised)
    }

    private fun pausePoint() = pausePoint(PAUSE_PROBABILITY, MOST_PAUSE_MILLISECONDS)

    private fun pausePointBeforeOrder() =
        pausePoint(PAUSE_BEFORE_ORDER_PROBABILITY, MOST_PAUSE_BEFORE_ORDER_MILLISECONDS)

    private fun pausePoint(probability: Double, mostMilliseconds: Long) {
        if (world.random.nextDouble() >= probability) return
        world.inject(Fault.PAUSE, "$id before a call")
        process.pause(world.milliseconds(1, mostMilliseconds))
    }

    private fun randomTarget(): EngineTarget = EngineTarget(
        role = EngineRole.entries.random(world.random),
        model = ModelId("granite"),
        version = world.random.nextInt(1, VERSIONS).toString(),
    )

    private companion object {
        const val MOST_OFFSET_MILLISECONDS = 1_000_000L
        const val MOST_REST_MILLISECONDS = 4_000L
        const val MOST_PAUSE_MILLISECONDS = 12_000L
        const val MOST_PAUSE_BEFORE_ORDER_MILLISECONDS = 4_000L
        const val MOST_ENDPOINTS = 9
        const val PAUSE_PROBABILITY = 0.002
        const val PAUSE_BEFORE_ORDER_PROBABILITY = 0.2
        const val VERSIONS = 4
    }
}
