package org.nutmegspring.gateway.store

import arrow.core.Either
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import kotlin.time.Duration

/** Who makes a call under a duty. */
data class DutyHolder(
    val instance: InstanceId,
    val fencing: FencingToken,
)

/**
 * How many endpoints of a service a data centre is to have, counted by kind.
 *
 * @property isInterruptible whether those are meant that cost less and may be taken away at short notice
 */
data class EndpointOrder(
    val service: ServiceId,
    val dataCentre: DataCentreId,
    val isInterruptible: Boolean,
    val count: Int,
)

/** Calls that only the holder of a duty may make. Each is paid for. */
interface DutyCalls {
    /** Reports how many requests of each organisation began in [window]. A repeat of the same report is harmless. */
    suspend fun reportUsage(
        window: Long,
        counts: Map<OrganisationId, Long>,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit>

    /** Asks [engine] to change to [role]. */
    suspend fun orderRole(
        engine: ServingEndpoint,
        role: EngineRole,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit>

    /** Asks the platform for the number of endpoints that [order] names. A repeat is harmless. */
    suspend fun orderEndpoints(
        order: EndpointOrder,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit>
}

/** Everything that the gateway needs of the platform. */
interface PlatformPorts {
    /** Heads of requests and answers. */
    val dialect: ServingDialect

    /** The configurations that operators wrote; one object holds the newest. */
    val configurations: StoreFeed<ServingConfiguration>

    /** The endpoints, as they describe themselves. */
    val endpoints: StoreFeed<ServingEndpoint>

    /** The store for objects of the gateway's own kinds. */
    val store: ObjectStore

    /** Calls under duties. */
    val duties: DutyCalls

    /** Returns the feed of the gateway's own objects of [kind], as text. */
    fun objects(kind: String): StoreFeed<String>
}
