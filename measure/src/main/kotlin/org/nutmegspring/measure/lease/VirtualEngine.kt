package org.nutmegspring.measure.lease

import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.ModelId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * An engine that takes orders and runs requests, on virtual time.
 *
 * It takes an order at once and cuts what it runs, so that an order that comes too early is seen. One that ignores
 * fencing numbers takes an order even while it is changing.
 */
internal class VirtualEngine(
    id: String,
    dataCentre: DataCentreId,
    private val fencing: FencingSupport,
    private val requestLimit: Duration,
    private val world: ControlWorld,
) {
    val description = EndpointDescription(
        id = EndpointId(id),
        kind = EndpointKind.Engine,
        dataCentre = dataCentre,
        address = "127.0.0.1:1",
        fencing = fencing,
    )
    private val clockRate = ControlRules.clockRate(world.random)
    private var target = INITIAL_TARGET
    private var changing = false
    private var lastSequence = 0L
    private var lastAccepted: EngineOrder? = null
    private var greatestFencing = 0L
    private var active = 0

    /** Grows with each start of the engine. Connections and requests belong to one start. */
    var starts: Int = 0
        private set

    /** The time after which the engine closes a connection that it answered now. */
    fun closesAt(): MonotonicTime = world.schedule.now() + requestLimit / clockRate

    fun state(): EngineState =
        EngineState(target, changing, lastSequence, FencingToken(greatestFencing), active)

    /** Takes [order]. [authorised] says whether its sender is in charge at this time. */
    fun accept(order: EngineOrder, authorised: Boolean): EngineOrderReply {
        if (fencing == FencingSupport.CHECKED) {
            if (order.fencing.value <
                greatestFencing
            ) {
                return EngineOrderReply.StaleFencing(FencingToken(greatestFencing))
            }
            if (changing) return EngineOrderReply.Unready("changing")
        }
        check(order, authorised)
        greatestFencing = order.fencing.value
        lastSequence = order.sequence
        lastAccepted = order
        if (order.target != target) change(order)
        return EngineOrderReply.Accepted
    }

    /** Starts a request that runs for [span] and calls [finished] at its end, or returns false. */
    fun start(span: Duration, finished: () -> Unit): Boolean {
        if (changing) return false
        val start = starts
        active++
        world.schedule.after(span) {
            if (start == starts) active--
            finished()
        }
        return true
    }

    /** Ends the engine at once and starts it anew. */
    fun crash() {
        starts++
        target = INITIAL_TARGET
        changing = false
        lastSequence = 0
        greatestFencing = 0
        active = 0
    }

    private fun check(order: EngineOrder, authorised: Boolean) {
        world.record("${description.id} accepts $order")
        world.count(ControlCount.ACCEPTED_BY_ENGINE)
        val last = lastAccepted
        val follows = last == null || order.sequence > last.sequence || order == last
        world.monitor.check(Invariant.NO_CONFLICTING_ORDERS, follows && !(changing && order.target != target)) {
            "$order after $last, changing $changing"
        }
        world.monitor.check(Invariant.NO_EFFECT_FROM_STALE_HOLDER, authorised) { "$order" }
        world.monitor.check(Invariant.NO_CUT_BY_PLANNED_CHANGE, order.target == target || active == 0) {
            "$order cuts $active requests"
        }
    }

    private fun change(order: EngineOrder) {
        val start = starts
        target = order.target
        changing = true
        world.schedule.after(world.milliseconds(LEAST_CHANGE_MILLISECONDS, MOST_CHANGE_MILLISECONDS)) {
            if (start == starts) changing = false
        }
    }

    companion object {
        val INITIAL_TARGET = EngineTarget(EngineRole.MIXED, ModelId("granite"), "1")
        private const val LEAST_CHANGE_MILLISECONDS = 500L
        private const val MOST_CHANGE_MILLISECONDS = 2_000L
    }
}
