package org.nutmegspring.gateway.configuration

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.quota.QuotaRate
import org.nutmegspring.spending.ScalingPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A secret that a caller presents. It is never logged and never forwarded. */
@JvmInline
value class ApiKey(val secret: String) {
    override fun toString(): String = "ApiKey(hidden)"
}

/** What may be done again when the outcome of a request is unknown. */
sealed interface RouteKind {
    /** The request may run any number of times. */
    data object Idempotent : RouteKind

    /** The request may run once at most. */
    data object NonIdempotent : RouteKind

    /**
     * The answer is a series of events.
     *
     * @property resumable whether a run may be continued at another endpoint after the last event
     * @property longestPause the longest pause between events for which the answer is on time
     */
    data class Streaming(val resumable: Boolean, val longestPause: Duration?) : RouteKind
}

/** Whether the request may be sent again although it may have run. */
val RouteKind.isRepeatable: Boolean
    get() = when (this) {
        RouteKind.Idempotent -> true
        RouteKind.NonIdempotent -> false
        is RouteKind.Streaming -> resumable
    }

/** A service that takes a part of a route's requests in proportion to [weight]. */
data class ServiceShare(
    val service: ServiceId,
    val weight: Double,
)

/**
 * How requests of one host whose path begins with [pathPrefix] are served.
 *
 * @property urgency rank of the requests, 0 is the most urgent
 * @property isPublic whether requests need no key
 * @property maximumAttempts the most endpoints to which one request is sent
 * @property timeout the longest time for which the operator wants a caller to wait
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
    /** How long a caller waits for the first output of a stream before it leaves. */
    val firstOutputPatience: Duration
        get() {
            val pause = (kind as? RouteKind.Streaming)?.longestPause ?: Duration.ZERO
            return maxOf(LEAST_PATIENCE, objective * PATIENCE_OBJECTIVES, pause * PATIENCE_PAUSES)
        }

    private companion object {
        /** Callers leave a silent stream after the longest of these three times. */
        val LEAST_PATIENCE = 2.seconds
        const val PATIENCE_OBJECTIVES = 4
        const val PATIENCE_PAUSES = 8
    }
}

/**
 * What the engines of a service can do.
 *
 * @property slots requests that run at once
 * @property cacheCapacityTokens memory of an engine, in tokens
 * @property cacheBytesPerToken bytes that a hand-over moves for each token
 * @property linkMegabitsPerSecond the speed of an engine's link
 */
data class EngineAbilities(
    val slots: Int,
    val cacheCapacityTokens: Long,
    val cacheBytesPerToken: Double,
    val linkMegabitsPerSecond: Double,
)

/**
 * A service behind the system.
 *
 * @property engines what its engines can do, null for a plain service
 * @property scaling how many endpoints may be ordered, null when none may
 */
data class ServiceDefinition(
    val id: ServiceId,
    val engines: EngineAbilities?,
    val scaling: ScalingPolicy? = null,
)

/** How the requests of an organisation are charged to its quota. */
sealed interface QuotaUnit {
    /** Each request is one unit. */
    data object Requests : QuotaUnit

    /** The tokens of prompt and output, or [withoutFigures] where a request does not tell them. */
    data class Tokens(val withoutFigures: Long) : QuotaUnit
}

/** An organisation. [urgency] goes before that of its routes, [quota] is null without a limit. */
data class OrganisationDefinition(
    val id: OrganisationId,
    val keys: List<ApiKey>,
    val urgency: Int?,
    val unit: QuotaUnit,
    val quota: QuotaRate?,
)

/** Bounds on what callers send and how long they take. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** One accepted configuration. A greater [version] replaces a smaller one. */
class ServingConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceDefinition>,
    val organisations: List<OrganisationDefinition>,
    val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }
    private val organisationsByKey = organisations.flatMap { owner -> owner.keys.map { it to owner } }.toMap()

    private val shortestObjectives = routes.filter { it.kind is RouteKind.Streaming }
        .flatMap { route -> route.services.map { it.service to route.objective } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, objectives) -> objectives.min() }

    /** Returns the shortest objective of a stream that [service] makes. */
    fun shortestStreamObjective(service: ServiceId): Duration = shortestObjectives[service] ?: Duration.INFINITE

    /** Whether requests need a key unless their route is public. */
    val needsKeys: Boolean get() = organisations.isNotEmpty()

    /** Returns the route of [host] with the longest prefix of [path], or null when none matches. */
    fun route(host: String, path: String): Route? {
        val ofHost = routesByHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            ofHost[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the organisation that holds [key]. */
    fun organisation(key: ApiKey): OrganisationDefinition? = organisationsByKey[key]
}
