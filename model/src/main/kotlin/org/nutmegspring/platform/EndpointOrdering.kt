package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.PriceClass
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.FencingToken

/** Identifies the pool of endpoints to which an [EndpointOrder] applies. */
@Serializable
public data class EndpointPool(
    public val dataCentre: DataCentreId,
    public val kind: EndpointKind,
    public val priceClass: PriceClass,
)

/**
 * Requests that the platform scale [pool] to [target] endpoints.
 *
 * The order states an absolute target, so repeating it is idempotent. The platform applies an order only if
 * [expectedGeneration] equals the current generation of the pool, and then increments the generation.
 */
@Serializable
public data class EndpointOrder(
    public val pool: EndpointPool,
    public val target: Int,
    public val expectedGeneration: Long,
    public val fencing: FencingToken,
    public val orderId: String,
)

/** The state of a pool: its current target, its generation and the id of the order that set the target. */
@Serializable
public data class PoolState(
    public val pool: EndpointPool,
    public val target: Int,
    public val generation: Long,
    public val lastOrderId: String?,
)

/** The platform API for scaling the endpoint pools of a data centre. */
public interface EndpointOrdering {
    /** Returns the state of [pool]. */
    public suspend fun state(pool: EndpointPool): Either<StoreFailure, PoolState>

    /** Places [order] and returns the resulting state. */
    public suspend fun place(order: EndpointOrder): Either<StoreFailure, PoolState>
}
