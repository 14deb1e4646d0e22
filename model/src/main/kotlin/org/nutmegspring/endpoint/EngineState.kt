package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingNumber
import org.nutmegspring.identity.ModelId

/**
 * The target state that an order gives to an engine. A repeat of the same order is harmless.
 *
 * @property adapters names of the adapters that the engine loads beside the model
 */
@Serializable
public data class EngineTarget(
    public val role: EngineRole,
    public val model: ModelId,
    public val version: String,
    public val adapters: Set<String> = emptySet(),
)

/** An order to an engine. Orders for one engine are numbered by [sequence] without gaps. */
@Serializable
public data class EngineOrder(
    public val engine: EndpointId,
    public val target: EngineTarget,
    public val fencing: FencingNumber,
    public val sequence: Long,
)

/**
 * A load report of an engine, published with a lag.
 *
 * @property queuedPromptTokens prompt tokens that wait for prefill
 * @property activeStreams requests that are generating
 * @property cachedPieces hashes of the cached prompt pieces that changed since the last report
 */
@Serializable
public data class LoadReport(
    public val engine: EndpointId,
    public val target: EngineTarget,
    public val changing: Boolean,
    public val queuedPromptTokens: Long,
    public val activeStreams: Int,
    public val queuedRequests: Int,
    public val sequence: Long,
    public val cachedPieces: List<CacheEvent> = emptyList(),
)

/** The change of one piece of an engine's prefix cache. [piece] is the chained hash of the prompt up to its end. */
@Serializable
public data class CacheEvent(
    public val piece: Long,
    public val present: Boolean,
)
