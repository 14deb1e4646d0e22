package org.nutmegspring.order

import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.escapeKeySegment
import org.nutmegspring.platform.ObjectKey

/** The recorded stage of the last order to an engine. */
@Serializable
enum class OrderOutcome {
    /** The order is recorded and may have been sent. */
    INTENDED,

    /** The engine reached the target. */
    REACHED,
}

/** The last order to [engine]. It is recorded in the store before it is sent. */
@Serializable
data class EngineOrderRecord(
    val engine: EndpointId,
    val target: EngineTarget,
    val fencing: FencingToken,
    val sequence: Long,
    val outcome: OrderOutcome,
) {
    /** Returns the order to send to the engine. */
    fun toOrder(): EngineOrder = EngineOrder(engine, target, fencing, sequence)
}

/** Returns the key of the record of the last order to [engine]. */
fun orderKey(engine: EndpointId): ObjectKey = ObjectKey("orders/${escapeKeySegment(engine.value)}")
