package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken

/** The reply of an engine to an [EngineOrder]. */
@Serializable
public sealed interface EngineOrderReply {
    /** The engine accepted the order and will execute it. */
    @Serializable
    public data object Accepted : EngineOrderReply

    /** The fencing token of the order is lower than [greatest], the greatest that the engine has seen. */
    @Serializable
    public data class StaleFencing(public val greatest: FencingToken) : EngineOrderReply

    /** The engine cannot accept the order now, for example because it is executing another one. */
    @Serializable
    public data class Unready(public val reason: String) : EngineOrderReply
}
