package org.nutmegspring.order

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.PoolState

/** What the state of a pool tells about an order. */
enum class EndpointOrderProgress {
    /** The order took effect. */
    APPLIED,

    /** The order has not taken effect but may still do so, and the same order may be sent again. */
    PENDING,

    /** Another order took effect, so this one never will. */
    SUPERSEDED,
}

/** Decides about orders of endpoints. Every order names the generation of the state on which it was decided. */
open class EndpointOrderRules {
    /** Returns the order that brings the pool of [state] to [target]. [orderId] is never used again. */
    fun order(state: PoolState, target: Int, fencing: FencingToken, orderId: String): EndpointOrder =
        EndpointOrder(state.pool, target, state.generation, fencing, orderId)

    /** Returns what [state] tells about [order]. */
    fun progress(order: EndpointOrder, state: PoolState): EndpointOrderProgress = when {
        state.lastOrderId == order.orderId -> EndpointOrderProgress.APPLIED
        state.generation == order.expectedGeneration -> EndpointOrderProgress.PENDING
        else -> EndpointOrderProgress.SUPERSEDED
    }

    /** Returns the order to send after [order] got no answer, when the pool is in [state] and it is still pending. */
    open fun repeated(order: EndpointOrder, state: PoolState): EndpointOrder {
        check(state.generation == order.expectedGeneration) { "order ${order.orderId} is not pending" }
        return order
    }
}
