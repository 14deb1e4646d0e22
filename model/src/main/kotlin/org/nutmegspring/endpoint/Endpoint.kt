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
    /** Stays until it is ordered away. */
    STANDARD,

    /** Costs less and can be withdrawn with its whole data centre pool at a few seconds' notice. */
    RECLAIMABLE,
}

/** Whether an endpoint compares the fencing number of an order with those that it has seen. */
@Serializable
public enum class FencingSupport {
    /** Rejects an order with a number below the greatest it has seen. */
    CHECKED,

    /** Ignores the number. */
    IGNORED,
}

/** The part of a request's work that an engine accepts. */
@Serializable
public enum class EngineRole {
    /** Prompt processing only. */
    PREFILL,

    /** Output generation only. */
    DECODE,

    /** Both. */
    MIXED,
}

/** What is fixed about an endpoint. [address] is `host:port` with an IP number. */
@Serializable
public data class EndpointDescription(
    public val id: EndpointId,
    public val kind: EndpointKind,
    public val dataCentre: DataCentreId,
    public val address: String,
    public val priceClass: PriceClass = PriceClass.STANDARD,
    public val fencing: FencingSupport = FencingSupport.CHECKED,
)
