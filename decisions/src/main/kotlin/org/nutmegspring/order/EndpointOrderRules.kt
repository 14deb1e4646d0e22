package org.nutmegspring.order

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.PoolState

/** The progress of an order, derived from the state of its pool. */
enum class EndpointOrderProgress {
    /** The order took effect. */
    APPLIED,

    /** The order has not taken effect but still can. The same order may be sent again. */
    PENDING,

    /** Another order took effect first, so this one never will. */
    SUPERSEDED,
}

/**
 * Creates orders of endpoints for pools and tracks their progress.
 *
 * Every order carries the generation of the pool state on which it was based.
 */
open class EndpointOrderRules {
    /** Returns the order that brings the pool of [state] to [target] endpoints. [orderId] must be unique. */
    fun createOrder(state: PoolState, target: Int, fencing: FencingToken, orderId: String): EndpointOrder =
        EndpointOrder(state.pool, target, state.generation, fencing, orderId)

    /** Returns the progress of [order] according to [state]. */
    fun determineProgress(order: EndpointOrder, state: PoolState): EndpointOrderProgress = when {
        state.lastOrderId == order.orderId -> EndpointOrderProgress.APPLIED
        state.generation == order.expectedGeneration -> EndpointOrderProgress.PENDING
        else -> EndpointOrderProgress.SUPERSEDED
    }

    /** Returns the order to send when [order], still pending according to [state], went unanswered. */
    open fun retryOrder(order: EndpointOrder, state: PoolState): EndpointOrder {
        check(state.generation == order.expectedGeneration) { "order ${order.orderId} is not pending" }
        return order
    }
}
