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

/** The instance that holds a duty, with the fencing token of its lease. */
data class DutyHolder(
    val instance: InstanceId,
    val fencing: FencingToken,
)

/**
 * The desired number of endpoints of one kind for a service in a data centre.
 *
 * @property isInterruptible whether the endpoints are of the cheaper kind that the platform may reclaim at short notice
 */
data class EndpointOrder(
    val service: ServiceId,
    val dataCentre: DataCentreId,
    val isInterruptible: Boolean,
    val count: Int,
)

/** Calls that only the holder of a duty may make. The platform charges for each. */
interface DutyCalls {
    /** Reports how many requests of each organisation began in [window]. Idempotent for the same report. */
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

    /** Asks the platform to scale to the number of endpoints in [order]. Idempotent. */
    suspend fun orderEndpoints(
        order: EndpointOrder,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit>
}

/** The interface between the gateway and the platform. */
interface PlatformPorts {
    /** Reads and writes the heads of requests and answers. */
    val dialect: ServingDialect

    /** The feed of configurations written by operators. One object holds the newest. */
    val configurations: StoreFeed<ServingConfiguration>

    /** The feed of endpoints, each as it describes itself. */
    val endpoints: StoreFeed<ServingEndpoint>

    /** The feed of evacuated data centres, an object each. Followed only where the bound for evacuations is set. */
    val evacuations: StoreFeed<DataCentreId>

    /** The store of the gateway's own objects. */
    val store: ObjectStore

    /** The calls that need a duty. */
    val duties: DutyCalls

    /** Returns the feed of the gateway's own objects of [kind], as text. */
    fun objectFeed(kind: String): StoreFeed<String>
}
