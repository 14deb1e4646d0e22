package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.ModelId

/**
 * The desired state that an order sets for an engine. Orders are idempotent.
 *
 * @property adapters names of the adapters that the engine loads in addition to the model
 */
@Serializable
public data class EngineTarget(
    public val role: EngineRole,
    public val model: ModelId,
    public val version: String,
    public val adapters: Set<String> = emptySet(),
)

/** An order to an engine. [sequence] numbers the orders for one engine without gaps. */
@Serializable
public data class EngineOrder(
    public val engine: EndpointId,
    public val target: EngineTarget,
    public val fencing: FencingToken,
    public val sequence: Long,
)

/**
 * A load report of an engine. Reports are published with a delay.
 *
 * @property queuedPromptTokens prompt tokens waiting for prefill
 * @property activeStreams requests that are generating output
 * @property cachedPieces additions to and evictions from the prefix cache since the previous report
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

/**
 * The addition of a block to an engine's prefix cache, or its eviction.
 *
 * @property piece the chained hash of the prompt up to the end of the block
 * @property present whether the block is cached now
 */
@Serializable
public data class CacheEvent(
    public val piece: Long,
    public val present: Boolean,
)
