package org.nutmegspring.standin.platform

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.EndpointPool
import org.nutmegspring.platform.PoolState

/** The pools of endpoints and the orders that set them. */
class OrderedPools {
    private val pools = HashMap<EndpointPool, PoolState>()
    private val greatestFencing = HashMap<EndpointPool, FencingToken>()
    private var acceptedOrders = 0L

    /** How many orders have changed a pool. */
    val accepted: Long
        @Synchronized get() = acceptedOrders

    /** Returns the state of [pool]. */
    @Synchronized
    fun state(pool: EndpointPool): PoolState = pools[pool] ?: PoolState(pool, 0, 0, null)

    /** Applies [order] and returns the new state, or returns null when its generation or fencing number is old. */
    @Synchronized
    fun place(order: EndpointOrder): PoolState? {
        val current = state(order.pool)
        val fenced = greatestFencing[order.pool]?.let { order.fencing < it } ?: false
        if (fenced || order.expectedGeneration != current.generation) return null
        val next = PoolState(order.pool, order.target, current.generation + 1, order.orderId)
        pools[order.pool] = next
        greatestFencing[order.pool] = order.fencing
        acceptedOrders++
        return next
    }
}
