package org.nutmegspring.endpoint

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ServiceId

/** Whether an endpoint is a model engine or runs a plain service. */
@Serializable
public sealed interface EndpointKind {
    /** A model engine. */
    @Serializable
    public data object Engine : EndpointKind

    /** An instance of the plain service [service]. */
    @Serializable
    public data class Plain(public val service: ServiceId) : EndpointKind
}

/** The price class of an endpoint. */
@Serializable
public enum class PriceClass {
    /** Remains until an order removes it. */
    STANDARD,

    /** Costs less, but the platform can reclaim the whole pool of a data centre at a few seconds' notice. */
    RECLAIMABLE,
}

/** Whether an endpoint checks the fencing token of an order against the tokens it has seen. */
@Serializable
public enum class FencingSupport {
    /** Rejects an order whose token is lower than the greatest one seen. */
    CHECKED,

    /** Ignores the token. */
    IGNORED,
}

/** The phases of a request that an engine processes. */
@Serializable
public enum class EngineRole {
    /** Prefill (prompt processing) only. */
    PREFILL,

    /** Decode (output generation) only. */
    DECODE,

    /** Both prefill and decode. */
    MIXED,
}

/** The immutable properties of an endpoint. [address] is `host:port` with an IP address. */
@Serializable
public data class EndpointDescription(
    public val id: EndpointId,
    public val kind: EndpointKind,
    public val dataCentre: DataCentreId,
    public val address: String,
    public val priceClass: PriceClass = PriceClass.STANDARD,
    public val fencing: FencingSupport = FencingSupport.CHECKED,
)
