package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingNumber

/**
 * What an engine answers when it is asked for its state.
 *
 * @property changing whether it is still carrying out an order; it then starts no request
 * @property activeRequests how many requests it holds, queued ones included
 * @property lastSequence the sequence of the last accepted order, or null when it has accepted none since its start
 */
@Serializable
public data class EngineOrderState(
    public val engine: EndpointId,
    public val target: EngineTarget,
    public val changing: Boolean,
    public val activeRequests: Int,
    public val lastSequence: Long? = null,
    public val lastFencing: FencingNumber? = null,
)

/** What an engine answers to an order. */
@Serializable
public sealed interface EngineOrderReply {
    /** The order is accepted and will be carried out. */
    @Serializable
    public data object Accepted : EngineOrderReply

    /** The order carried a lower fencing number than [greatest]. */
    @Serializable
    public data class StaleFencing(public val greatest: FencingNumber) : EngineOrderReply

    /** The engine can't take the order now, for example since it is carrying out another. */
    @Serializable
    public data class Unready(public val reason: String) : EngineOrderReply
}
