package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingNumber

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
