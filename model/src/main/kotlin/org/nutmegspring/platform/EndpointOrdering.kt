package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.PriceClass
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.FencingNumber

/** The pool to which an order of endpoints applies. */
@Serializable
public data class EndpointPool(
    public val dataCentre: DataCentreId,
    public val kind: EndpointKind,
    public val priceClass: PriceClass,
)

/**
 * Asks the platform to hold [target] endpoints in [pool].
 *
 * The order names a target, so that a repeat is harmless. The platform applies an order only when
 * [expectedGeneration] is the generation of the pool, and then increases the generation by one.
 */
@Serializable
public data class EndpointOrder(
    public val pool: EndpointPool,
    public val target: Int,
    public val expectedGeneration: Long,
    public val fencing: FencingNumber,
    public val orderId: String,
)

/** The state of a pool: the last target, its generation and the order that set it. */
@Serializable
public data class PoolState(
    public val pool: EndpointPool,
    public val target: Int,
    public val generation: Long,
    public val lastOrderId: String?,
)

/** The platform's interface for ordering endpoints by data centre. */
public interface EndpointOrdering {
    /** Returns the state of [pool]. */
    public suspend fun state(pool: EndpointPool): Either<StoreFailure, PoolState>

    /** Places [order] and returns the resulting state. */
    public suspend fun place(order: EndpointOrder): Either<StoreFailure, PoolState>
}
