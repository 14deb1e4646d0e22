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
 * The first order to a pool under a new fencing number repeats the current target. It moves the generation on, so
 * that every order that a former holder may still send is rejected.
 */
class EndpointOrderer(
    private val ordering: EndpointOrdering,
    private val rules: EndpointOrderRules,
    private val held: () -> HeldLease?,
) {
    private val turn = Mutex()
    private val claims = HashMap<EndpointPool, FencingToken>()

    /** Brings [pool] to the target that [decide] returns for its state. [orderId] must never be used again. */
    suspend fun bring(
        pool: EndpointPool,
        orderId: String,
        decide: (PoolState) -> Int,
    ): Either<Failure, PoolState> = turn.withLock {
        either {
            val state = state(pool)
            val fencing = authority().fencing
            val claimed = if (claims[pool] == fencing) state else claim(state, fencing, orderId)
            val target = decide(claimed)
            if (target == claimed.target) claimed else place(rules.createOrder(claimed, target, fencing, orderId))
        }
    }

    private suspend fun Raise<Failure>.claim(state: PoolState, fencing: FencingToken, orderId: String): PoolState {
        val claimed = place(rules.createOrder(state, state.target, fencing, "claim-$orderId"))
        claims[state.pool] = fencing
        return claimed
    }

    private suspend fun Raise<Failure>.place(first: EndpointOrder): PoolState {
        var order = first
        repeat(MAXIMUM_ATTEMPTS) {
            if (authority().fencing != order.fencing) raise(superseded(order))
            ordering.place(order).onRight { if (applied(order, it)) return it }
            val state = ordering.state(order.pool).getOrNull()
            if (state != null) {
                if (applied(order, state)) return state
                order = rules.retryOrder(order, state)
            }
            delay(RETRY_DELAY)
        }
        raise(failure("order ${order.orderId} got no answer"))
    }

    private fun Raise<Failure>.applied(order: EndpointOrder, state: PoolState): Boolean =
        when (rules.determineProgress(order, state)) {
            EndpointOrderProgress.APPLIED -> true
            EndpointOrderProgress.PENDING -> false
            EndpointOrderProgress.SUPERSEDED -> raise(superseded(order))
        }

    private suspend fun Raise<Failure>.state(pool: EndpointPool): PoolState =
        ordering.state(pool).getOrElse { failure: StoreFailure -> raise(failure.toFailure(Step.ORDER)) }

    private fun Raise<Failure>.authority(): HeldLease = held() ?: raise(failure("the lease is not held"))

    private fun superseded(order: EndpointOrder): Failure = failure("order ${order.orderId} was superseded")

    private fun failure(message: String): Failure =
        Failure(Step.ORDER, Peer.PLATFORM, Effect.UNKNOWN, message, retryAfter = RETRY_DELAY)

    private companion object {
        val RETRY_DELAY = 250.milliseconds
        const val MAXIMUM_ATTEMPTS = 40
    }
}
