package org.nutmegspring.gateway

import org.nutmegspring.gateway.configuration.ApiKey
import org.nutmegspring.gateway.configuration.CallerLimits
import org.nutmegspring.gateway.configuration.OrganisationDefinition
import org.nutmegspring.gateway.configuration.QuotaUnit
import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.gateway.configuration.RouteKind
import org.nutmegspring.gateway.configuration.ServiceShare
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.endpoints.InstanceTurns
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.forwarding.CrashGuard
import org.nutmegspring.gateway.forwarding.EngineProbes
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.http.EventLoop
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A clock that stands still until [advance] is called. */
internal class TestClock :
    MonotonicClock,
    AgeClock {
    private var current = MonotonicTime.ZERO

    override fun now(): MonotonicTime = current

    override fun ageOf(time: MonotonicTime): Duration = current - time

    fun advance(duration: Duration) {
        current += duration
    }
}

internal val desk = ServiceId("desk")

internal fun routeOf(
    name: String,
    prefix: String,
    host: String = "host.example",
    isPublic: Boolean = false,
    kind: RouteKind = RouteKind.Idempotent,
) = Route(
    name = name,
    host = host,
    pathPrefix = prefix,
    kind = kind,
    services = listOf(ServiceShare(desk, 1.0)),
    timeout = 5.seconds,
    objective = 1.seconds,
    urgency = 1,
    maximumAttempts = 2,
    isPublic = isPublic,
)

internal val theatre = OrganisationDefinition(
    id = OrganisationId("theatre"),
    keys = listOf(ApiKey("secret")),
    urgency = null,
    unit = QuotaUnit.Requests,
    quota = null,
)

internal fun configurationOf(
    vararg routes: Route,
    version: Long = 1,
    organisations: List<OrganisationDefinition> = listOf(theatre),
) = ServingConfiguration(
    version = version,
    routes = routes.toList(),
    services = emptyMap(),
    organisations = organisations,
    limits = CallerLimits(16_384, 1_000_000, 3.seconds, 15.seconds),
)

internal fun endpointOf(
    name: String,
    state: ListedState = ListedState.LIVE,
    bornAt: Long? = 1,
    address: String = "10.0.0.1:80",
    sequence: Long? = null,
) = ServingEndpoint(
    id = EndpointId(name),
    service = desk,
    address = address,
    dataCentre = DataCentreId("rennes"),
    slots = 6,
    state = state,
    role = null,
    bornAt = bornAt,
    sequence = sequence,
)

internal fun crashGuardOf(clock: MonotonicClock): CrashGuard {
    val connections = EndpointConnections(EventLoop(), clock, 1.seconds)
    return CrashGuard(EngineProbes(connections), clock, { }) { 100.milliseconds }
}

/** The turns of an instance without others, at a time that stands still. */
internal val singleInstance = InstanceTurns(InstanceId("self"), { emptyList() }) { Duration.ZERO }
