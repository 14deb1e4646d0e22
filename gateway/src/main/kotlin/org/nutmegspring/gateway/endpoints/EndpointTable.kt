package org.nutmegspring.gateway.endpoints

import org.nutmegspring.currency.FreshnessEvidence
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A change of an endpoint in the table. */
enum class EndpointChange {
    /** It is new. */
    APPEARED,

    /** Its description changed. */
    CHANGED,

    /** It is about to shut down and gets no further work. */
    DEPARTING,

    /** Its entry was removed, and it gets no further work. */
    GONE,

    /** Its entry was lost during an outage of the store; it is used for a while longer. */
    LAPSED,

    /** The store shows a description that is older than the known one or than its departure; it is not applied. */
    OUTDATED,
}

/**
 * The endpoints that the platform's store lists, with what this instance knows of each.
 *
 * @param permits whether endpoints in a data centre may get anything from this instance; not while it is evacuated
 * @param timeUntilWork returns how long an endpoint gets no work because it asked for that, maybe infinite
 */
class EndpointTable(
    private val cacheCapacity: (ServiceId) -> Long,
    private val turns: InstanceTurns,
    val permits: (DataCentreId) -> Boolean = { true },
    private val cold: ColdEndpoints? = null,
    private val timeUntilWork: (ServingEndpoint) -> Duration = { Duration.ZERO },
    private val onChange: (ServingEndpoint, EndpointChange) -> Unit,
) {
    private val states = LinkedHashMap<EndpointId, EndpointState>()

    /** The last descriptions of endpoints whose entries were removed, the latest last. */
    private val departed = LinkedHashMap<EndpointId, ServingEndpoint>()

    /** The evidence that the table is what the store holds. */
    val evidence = FreshnessEvidence()

    /** Whether the store has not answered the last call for changes of endpoints. */
    var isFeedLost: Boolean = false

    /** Whether a listing has been received. */
    var isListed: Boolean = false
        private set

    /** Returns the state of the endpoint [id], or null if it is not in the table. */
    fun findState(id: EndpointId): EndpointState? = states[id]

    /** Returns the states of all endpoints. */
    fun allStates(): Collection<EndpointState> = states.values

    /**
     * Returns the endpoints of [service] that can take new work at [now], without those whose limit permits none.
     * Endpoints whose breaker is open and avoided ones are included only if there are no others.
     */
    fun findUsable(
        service: ServiceId,
        now: MonotonicTime,
        excluded: Set<EndpointId> = emptySet(),
    ): List<EndpointState> {
        val live = findLive(service, now).filter {
            it.endpoint.id !in excluded && timeUntilRequest(it) == Duration.ZERO
        }
        val permitted = live.filter { it.health.canSend(now) }.ifEmpty { live }
        return permitted.filter { !it.isAvoided(now) }.ifEmpty { permitted }
    }

    /** Returns how long it takes until some endpoint of [service] permits a request, null if none holds it back. */
    fun timeUntilTurn(service: ServiceId, now: MonotonicTime): Duration? =
        findLive(service, now).minOfOrNull(::timeUntilRequest)?.takeIf { it > Duration.ZERO && it.isFinite() }

    /** Whether [endpoint] may get calls that are no work, such as orders. */
    fun permitsCalls(endpoint: ServingEndpoint): Boolean =
        permits(endpoint.dataCentre) && timeUntilWork(endpoint) == Duration.ZERO

    private fun timeUntilRequest(state: EndpointState): Duration =
        maxOf(state.limit.timeUntilTurn(turns), timeUntilWork(state.endpoint))

    /** Counts a request that is about to be sent to [id]. Returns false if the limit of the endpoint permits none. */
    fun tryAcquire(id: EndpointId): Boolean {
        cold?.recordTraffic()
        return states[id]?.limit?.tryAcquire(turns) ?: true
    }

    /** Counts a call to [id] other than a caller's request. Returns false if the endpoint is cold and has no turn. */
    fun tryContact(id: EndpointId): Boolean {
        val state = states[id] ?: return true
        return cold?.isKnownCold(state) != true || state.limit.tryAcquire(turns)
    }

    /** Whether endpoints of [service] could take work at [now], but all of them are in evacuated data centres. */
    fun isEvacuated(service: ServiceId, now: MonotonicTime): Boolean =
        findListed(service, now).let { listed ->
            listed.isNotEmpty() && listed.none { permits(it.endpoint.dataCentre) }
        }

    private fun findLive(service: ServiceId, now: MonotonicTime): List<EndpointState> =
        findListed(service, now).filter { permits(it.endpoint.dataCentre) }

    private fun findListed(service: ServiceId, now: MonotonicTime): List<EndpointState> = states.values.filter {
        it.endpoint.service == service && it.endpoint.state == ListedState.LIVE && !it.isMisdirected &&
            (it.lapsesAt?.let { until -> now < until } ?: true)
    }

    /**
     * Replaces the table by [listing]. If the store was unavailable until [regainedAt], missing entries may have
     * lapsed, so these endpoints stay in use until they have had time to register again.
     */
    fun replace(listing: Listing<ServingEndpoint>, regainedAt: MonotonicTime?, now: MonotonicTime) {
        val isFirst = !isListed
        isListed = true
        val listed = listing.entries.map { EndpointId(it.name) }.toSet()
        listing.entries.forEach { entry -> entry.value?.let { addOrUpdate(it, isFirst) } }
        states.keys.filter { it !in listed }.forEach { handleRemoval(it, regainedAt, now) }
    }

    /** Applies one change. A removed entry may have lapsed if the store was unavailable until [regainedAt]. */
    fun applyChange(event: FeedEvent<ServingEndpoint>, regainedAt: MonotonicTime?, now: MonotonicTime) {
        when (event) {
            is FeedEvent.Changed -> event.entry.value?.let { addOrUpdate(it) }
            is FeedEvent.Removed -> handleRemoval(EndpointId(event.name), regainedAt, now)
        }
    }

    /** Removes the lapsed endpoints that have not registered again by [now]. */
    fun removeLapsed(now: MonotonicTime) {
        states.values.filter { state -> state.lapsesAt?.let { now >= it } ?: false }.forEach { remove(it.endpoint.id) }
    }

    private fun addOrUpdate(endpoint: ServingEndpoint, isFirstListing: Boolean = false) {
        val known = states[endpoint.id]
        if (isOutdated(endpoint, known)) return onChange(endpoint, EndpointChange.OUTDATED)
        val former = departed.remove(endpoint.id)
        if (known == null) {
            val state = EndpointState(endpoint, cacheCapacity(endpoint.service), cold, turns.now())
            states[endpoint.id] = state
            cold?.recordAppearance(state, isFirstListing, former)
            onChange(endpoint, EndpointChange.APPEARED)
            return
        }
        val before = known.endpoint
        val hasLapsed = known.lapsesAt != null
        known.updateDescription(endpoint)
        cold?.recordUpdate(known, before, hasLapsed)
        when {
            before.describesSameAs(endpoint) -> Unit
            endpoint.state == ListedState.DEPARTING -> onChange(endpoint, EndpointChange.DEPARTING)
            else -> onChange(endpoint, EndpointChange.CHANGED)
        }
    }

    /**
     * Whether [endpoint] is an older description than the known one, or one from before its departure. A store that has
     * returned from an older copy shows such descriptions until the endpoints have written theirs again.
     */
    private fun isOutdated(endpoint: ServingEndpoint, known: EndpointState?): Boolean {
        val age = known?.let { endpoint.compareAge(it.endpoint) }
        val ageAtDeparture = departed[endpoint.id]?.let { endpoint.compareAge(it) }
        return (age != null && age < 0) || (ageAtDeparture != null && ageAtDeparture <= 0)
    }

    private fun handleRemoval(id: EndpointId, regainedAt: MonotonicTime?, now: MonotonicTime) {
        val graceEnd = regainedAt?.let { it + REREGISTRATION_TIME }
        if (graceEnd != null && now < graceEnd) return markLapsed(id, graceEnd)
        states[id]?.let { rememberDeparture(it.endpoint) }
        remove(id)
    }

    private fun rememberDeparture(endpoint: ServingEndpoint) {
        departed[endpoint.id] = endpoint
        if (departed.size > MAXIMUM_DEPARTED) departed.remove(departed.keys.first())
    }

    private fun markLapsed(id: EndpointId, until: MonotonicTime) {
        val state = states[id] ?: return
        if (state.lapsesAt != null) return
        state.lapsesAt = until
        onChange(state.endpoint, EndpointChange.LAPSED)
    }

    private fun remove(id: EndpointId) {
        states.remove(id)?.let { onChange(it.endpoint, EndpointChange.GONE) }
    }

    private companion object {
        /** Running endpoints register again within about two seconds after the store recovers. */
        val REREGISTRATION_TIME: Duration = 1900.milliseconds

        /** Many times the endpoints that leave in the seconds that a store may lose. */
        const val MAXIMUM_DEPARTED = 1_000
    }
}
