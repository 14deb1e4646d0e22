package org.nutmegspring.gateway.configuration

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.quota.QuotaRate
import org.nutmegspring.spending.ScalingPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The secret with which a caller authenticates. It is never logged and never forwarded. */
@JvmInline
value class ApiKey(val secret: String) {
    override fun toString(): String = "ApiKey(hidden)"
}

/** Whether and how a request may be retried when its outcome is unknown. */
sealed interface RouteKind {
    /** The request may run any number of times. */
    data object Idempotent : RouteKind

    /** The request may run at most once. */
    data object NonIdempotent : RouteKind

    /**
     * The answer is a stream of events.
     *
     * @property isResumable whether another endpoint can continue the stream after the last event received
     * @property interEventObjective the maximum interval between events of an answer that is on time
     */
    data class Streaming(val isResumable: Boolean, val interEventObjective: Duration?) : RouteKind
}

/** Whether the request may be sent again although it may have run. */
val RouteKind.isRepeatable: Boolean
    get() = when (this) {
        RouteKind.Idempotent -> true
        RouteKind.NonIdempotent -> false
        is RouteKind.Streaming -> isResumable
    }

/** A service that receives a share of a route's requests in proportion to [weight]. */
data class ServiceShare(
    val service: ServiceId,
    val weight: Double,
)

/**
 * How requests of one host whose path begins with [pathPrefix] are served.
 *
 * @property urgency priority of the requests; 0 is the most urgent
 * @property isPublic whether requests need no API key
 * @property maximumAttempts the maximum number of endpoints to which one request is sent
 * @property timeout the maximum time that a caller waits, as set by the operator
 * @property objective the time within which an answer has its full value
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<ServiceShare>,
    val timeout: Duration,
    val objective: Duration,
    val urgency: Int,
    val maximumAttempts: Int,
    val isPublic: Boolean,
) {
    /** The estimated time that a caller waits for the first output of a stream before it disconnects. */
    val firstOutputTimeout: Duration
        get() {
            val pause = (kind as? RouteKind.Streaming)?.interEventObjective ?: Duration.ZERO
            return maxOf(MINIMUM_FIRST_OUTPUT_TIMEOUT, objective * OBJECTIVE_FACTOR, pause * INTER_EVENT_FACTOR)
        }

    private companion object {
        /** Callers disconnect from a stream without output after the longest of these three times. */
        val MINIMUM_FIRST_OUTPUT_TIMEOUT = 2.seconds
        const val OBJECTIVE_FACTOR = 4
        const val INTER_EVENT_FACTOR = 8
    }
}

/**
 * The capabilities of each engine of a service.
 *
 * @property slots the maximum number of concurrent requests
 * @property cacheCapacityTokens the KV-cache capacity, in tokens
 * @property cacheBytesPerToken the bytes that a KV-cache transfer moves for each token
 * @property linkMegabitsPerSecond the bandwidth of the network link
 */
data class EngineCapabilities(
    val slots: Int,
    val cacheCapacityTokens: Long,
    val cacheBytesPerToken: Double,
    val linkMegabitsPerSecond: Double,
)

/**
 * How the endpoints of a service start.
 *
 * @property duration how long an endpoint may be cold after it starts
 * @property requestsPerSecond the requests that a cold endpoint sustains
 */
data class ColdStart(
    val duration: Duration,
    val requestsPerSecond: Double,
)

/**
 * A service to which requests are forwarded.
 *
 * @property engines the capabilities of its engines, null for a plain service
 * @property scaling the limits within which endpoints may be ordered, null when none may be
 * @property coldStart how its endpoints start, null when they are never cold
 */
data class ServiceDefinition(
    val id: ServiceId,
    val engines: EngineCapabilities?,
    val scaling: ScalingPolicy? = null,
    val coldStart: ColdStart? = null,
)

/** How the requests of an organisation are charged to its quota. */
sealed interface QuotaUnit {
    /** Each request is one unit. */
    data object Requests : QuotaUnit

    /** The tokens of prompt and output, or [defaultTokens] when their number is not known. */
    data class Tokens(val defaultTokens: Long) : QuotaUnit
}

/** An organisation. [urgency] overrides that of the route; [quota] is null when there is no limit. */
data class OrganisationDefinition(
    val id: OrganisationId,
    val keys: List<ApiKey>,
    val urgency: Int?,
    val unit: QuotaUnit,
    val quota: QuotaRate?,
)

/** Limits on the size of requests and on the time that callers take to send them. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** An accepted configuration. A higher [version] replaces a lower one. */
class ServingConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceDefinition>,
    val organisations: List<OrganisationDefinition>,
    val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host }
        .mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.pathPrefix } }
    private val organisationsByKey = organisations.flatMap { owner -> owner.keys.map { it to owner } }.toMap()

    private val shortestObjectives = routes.filter { it.kind is RouteKind.Streaming }
        .flatMap { route -> route.services.map { it.service to route.objective } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, objectives) -> objectives.min() }

    /** Returns the shortest objective of the streaming routes to [service], infinite when there are none. */
    fun shortestStreamObjective(service: ServiceId): Duration = shortestObjectives[service] ?: Duration.INFINITE

    /** Whether requests to routes that are not public need an API key. */
    val isKeyRequired: Boolean get() = organisations.isNotEmpty()

    /** Returns the route of [host] with the longest matching prefix of [path], or null when none matches. */
    fun findRoute(host: String, path: String): Route? {
        val hostRoutes = routesByHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            hostRoutes[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the organisation to which [key] belongs, or null when the key is unknown. */
    fun findOrganisation(key: ApiKey): OrganisationDefinition? = organisationsByKey[key]
}
