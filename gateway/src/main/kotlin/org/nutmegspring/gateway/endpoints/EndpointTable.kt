package org.nutmegspring.gateway.endpoints

import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why an endpoint came or went. */
enum class EndpointChange {
    /** It is new. */
    APPEARED,

    /** Its description changed. */
    CHANGED,

    /** It is about to leave and gets no further work. */
    DEPARTING,

    /** Its entry is gone, and it gets no further work. */
    GONE,

    /** Its entry was lost during an outage of the store; it is used for a while longer. */
    LAPSED,
}

/** The endpoints that the platform's store lists, with what this instance believes of each. */
class EndpointTable(
    private val cacheCapacity: (ServiceId) -> Long,
    private val onChange: (ServingEndpoint, EndpointChange) -> Unit,
) {
    private val states = LinkedHashMap<EndpointId, EndpointState>()

    /** Whether the endpoints have been listed once. */
    var isListed: Boolean = false
        private set

    /** Returns what is believed of the endpoint [id]. */
    fun state(id: EndpointId): EndpointState? = states[id]

    /** Returns all endpoints. */
    fun all(): Collection<EndpointState> = states.values

    /**
     * Returns the endpoints of [service] that take new work at [now]. Those that refuse work for a while, and failing
     * ones, only when there are no others.
     */
    fun usable(service: ServiceId, now: MonotonicTime, excluded: Set<EndpointId> = emptySet()): List<EndpointState> {
        val live = states.values.filter {
            it.endpoint.service == service && it.endpoint.state == ListedState.LIVE && !it.isMisdirected &&
                it.endpoint.id !in excluded && (it.lapsesAt?.let { until -> now < until } ?: true)
        }
        val permitted = live.filter { it.health.canSend(now) }.ifEmpty { live }
        return permitted.filter { !it.isAvoided(now) }.ifEmpty { permitted }
    }

    /**
     * Replaces the table by [listing]. Entries may have lapsed when the store was away until [regainedAt]: those that
     * are missing are then used until the endpoints had time to come back.
     */
    fun replace(listing: Listing<ServingEndpoint>, regainedAt: MonotonicTime?, now: MonotonicTime) {
        isListed = true
        val listed = listing.entries.map { EndpointId(it.name) }.toSet()
        listing.entries.forEach { entry -> entry.value?.let(::put) }
        states.keys.filter { it !in listed }.forEach { vanish(it, regainedAt, now) }
    }

    /** Applies one change. An entry that is gone may have lapsed when the store was away until [regainedAt]. */
    fun apply(event: FeedEvent<ServingEndpoint>, regainedAt: MonotonicTime?, now: MonotonicTime) {
        when (event) {
            is FeedEvent.Changed -> event.entry.value?.let(::put)
            is FeedEvent.Removed -> vanish(EndpointId(event.name), regainedAt, now)
        }
    }

    /** Drops the lapsed endpoints that did not come back by [now]. */
    fun dropLapsed(now: MonotonicTime) {
        states.values.filter { state -> state.lapsesAt?.let { now >= it } ?: false }.forEach { remove(it.endpoint.id) }
    }

    private fun put(endpoint: ServingEndpoint) {
        val known = states[endpoint.id]
        if (known == null) {
            states[endpoint.id] = EndpointState(endpoint, cacheCapacity(endpoint.service))
            onChange(endpoint, EndpointChange.APPEARED)
            return
        }
        val before = known.endpoint
        known.describe(endpoint)
        when {
            before == endpoint -> Unit
            endpoint.state == ListedState.DEPARTING -> onChange(endpoint, EndpointChange.DEPARTING)
            else -> onChange(endpoint, EndpointChange.CHANGED)
        }
    }

    private fun vanish(id: EndpointId, regainedAt: MonotonicTime?, now: MonotonicTime) {
        val graceEnd = regainedAt?.let { it + RETURN_TIME }
        if (graceEnd != null && now < graceEnd) lapse(id, graceEnd) else remove(id)
    }

    private fun lapse(id: EndpointId, until: MonotonicTime) {
        val state = states[id] ?: return
        if (state.lapsesAt != null) return
        state.lapsesAt = until
        onChange(state.endpoint, EndpointChange.LAPSED)
    }

    private fun remove(id: EndpointId) {
        states.remove(id)?.let { onChange(it.endpoint, EndpointChange.GONE) }
    }

    private companion object {
        /** Endpoints that live are listed again within about two seconds of the store's return. */
        val RETURN_TIME: Duration = 1900.milliseconds
    }
}
