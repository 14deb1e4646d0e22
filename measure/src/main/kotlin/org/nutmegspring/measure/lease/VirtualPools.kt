package org.nutmegspring.measure.lease

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.PriceClass
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.EndpointOrdering
import org.nutmegspring.platform.EndpointPool
import org.nutmegspring.platform.PoolState
import org.nutmegspring.platform.StoreFailure
import kotlin.time.Duration.Companion.seconds

/** The platform's pools of endpoints. They compare generations and ignore fencing numbers. */
internal class VirtualPools(private val world: ControlWorld) {
    private val states = HashMap<EndpointPool, PoolState>()
    private val greatestFencing = HashMap<EndpointPool, Long>()
    private val applied = HashSet<String>()

    fun state(pool: EndpointPool): PoolState = states[pool] ?: PoolState(pool, 1, 0, null)

    /** Applies [order] when it names the present generation. */
    fun place(order: EndpointOrder): PoolState {
        val state = state(order.pool)
        if (state.generation != order.expectedGeneration) return state
        check(order)
        return state.copy(target = order.target, generation = state.generation + 1, lastOrderId = order.orderId)
            .also { states[order.pool] = it }
    }

    private fun check(order: EndpointOrder) {
        world.record("platform accepts $order")
        world.count(ControlCount.ACCEPTED_BY_PLATFORM)
        val greatest = greatestFencing[order.pool] ?: 0
        world.monitor.check(Invariant.ONE_ORDERER, order.fencing.value >= greatest) { "$order after $greatest" }
        greatestFencing[order.pool] = order.fencing.value
        val decision = order.orderId.substringBefore('#')
        world.monitor.check(Invariant.ORDERED_ONCE, applied.add(decision)) { "$order again" }
    }

    companion object {
        /** Returns the pool of engines of [dataCentre]. */
        fun pool(dataCentre: DataCentreId): EndpointPool =
            EndpointPool(dataCentre, EndpointKind.Engine, PriceClass.STANDARD)
    }
}

/** The platform's ordering interface as [process] reaches it, with faults. */
internal class VirtualOrdering(
    private val world: ControlWorld,
    private val process: VirtualProcess,
    private val pools: VirtualPools,
    private val faults: CallFaults,
    private val beforeOrder: () -> Unit,
) : EndpointOrdering {
    override suspend fun state(pool: EndpointPool): Either<StoreFailure, PoolState> = call { pools.state(pool) }

    override suspend fun place(order: EndpointOrder): Either<StoreFailure, PoolState> {
        beforeOrder()
        return call { pools.place(order) }
    }

    private suspend fun call(effect: () -> PoolState): Either<StoreFailure, PoolState> = process.call { resume ->
        process.after(TIMEOUT) { resume(UNANSWERED.left()) }
        faults.requestDelay()?.let { delay ->
            world.schedule.after(delay) {
                val result = effect()
                faults.replyDelay()?.let { back -> world.schedule.after(back) { resume(result.right()) } }
            }
        }
    }

    private companion object {
        val TIMEOUT = 1.seconds
        val UNANSWERED = StoreFailure.Unanswered(
            Failure(Step.ORDER, Peer.PLATFORM, Effect.UNKNOWN, "no answer within $TIMEOUT"),
        )
    }
}
