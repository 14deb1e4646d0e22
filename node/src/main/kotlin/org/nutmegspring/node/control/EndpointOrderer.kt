package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.order.EndpointOrderProgress
import org.nutmegspring.order.EndpointOrderRules
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.EndpointOrdering
import org.nutmegspring.platform.EndpointPool
import org.nutmegspring.platform.PoolState
import org.nutmegspring.platform.StoreFailure
import kotlin.time.Duration.Companion.milliseconds

/**
 * Orders endpoints from the platform under one lease, one order at a time.
 *
 * The first order for a pool under a new fencing token repeats the current target. It advances the generation, so that
 * the platform rejects all orders that a previous lease holder may still send.
 *
 * @property heldLease returns the lease under which orders are sent, or null if this process does not hold it
 */
class EndpointOrderer(
    private val ordering: EndpointOrdering,
    private val rules: EndpointOrderRules,
    private val heldLease: () -> HeldLease?,
) {
    private val mutex = Mutex()
    private val claimedTokens = HashMap<EndpointPool, FencingToken>()

    /** Brings [pool] to the target that [decide] returns for its state. [orderId] must be unique. */
    suspend fun reconcile(
        pool: EndpointPool,
        orderId: String,
        decide: (PoolState) -> Int,
    ): Either<Failure, PoolState> = mutex.withLock {
        either {
            val state = readState(pool)
            val fencing = requireLease().fencing
            val claimed = if (claimedTokens[pool] == fencing) state else claimPool(state, fencing, orderId)
            val target = decide(claimed)
            if (target == claimed.target) claimed else sendOrder(rules.createOrder(claimed, target, fencing, orderId))
        }
    }

    private suspend fun Raise<Failure>.claimPool(state: PoolState, fencing: FencingToken, orderId: String): PoolState {
        val claimed = sendOrder(rules.createOrder(state, state.target, fencing, "claim-$orderId"))
        claimedTokens[state.pool] = fencing
        return claimed
    }

    private suspend fun Raise<Failure>.sendOrder(first: EndpointOrder): PoolState {
        var order = first
        repeat(MAXIMUM_ATTEMPTS) {
            if (requireLease().fencing != order.fencing) raise(createSupersededFailure(order))
            ordering.place(order).onRight { if (isApplied(order, it)) return it }
            val state = ordering.state(order.pool).getOrNull()
            if (state != null) {
                if (isApplied(order, state)) return state
                order = rules.retryOrder(order, state)
            }
            delay(RETRY_DELAY)
        }
        raise(createFailure("the outcome of order ${order.orderId} is unknown"))
    }

    private fun Raise<Failure>.isApplied(order: EndpointOrder, state: PoolState): Boolean =
        when (rules.determineProgress(order, state)) {
            EndpointOrderProgress.APPLIED -> true
            EndpointOrderProgress.PENDING -> false
            EndpointOrderProgress.SUPERSEDED -> raise(createSupersededFailure(order))
        }

    private suspend fun Raise<Failure>.readState(pool: EndpointPool): PoolState =
        ordering.state(pool).getOrElse { failure: StoreFailure -> raise(failure.toFailure(Step.ORDER)) }

    private fun Raise<Failure>.requireLease(): HeldLease = heldLease() ?: raise(createFailure("the lease is not held"))

    private fun createSupersededFailure(order: EndpointOrder): Failure =
        createFailure("order ${order.orderId} was superseded")

    private fun createFailure(message: String): Failure =
        Failure(Step.ORDER, Peer.PLATFORM, Effect.UNKNOWN, message, retryAfter = RETRY_DELAY)

    private companion object {
        val RETRY_DELAY = 250.milliseconds
        const val MAXIMUM_ATTEMPTS = 40
    }
}
