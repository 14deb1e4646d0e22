package org.nutmegspring.routing

import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The endpoints known to one instance. Chooses the endpoint for each request. Not safe for concurrent use.
 *
 * @property dataCentre the data centre of the instance
 */
class EndpointTable(
    val dataCentre: DataCentreId,
    private val costs: EngineCosts,
    private val random: Random,
    private val policy: RoutingPolicy = RoutingPolicy.ExpectedDelay(),
    private val healthSettings: EndpointHealthSettings = EndpointHealthSettings(),
) {
    private val endpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
    private val models = LinkedHashMap<ModelId, ModelEngines>()
    private val services = HashMap<ServiceId, MutableList<KnownEndpoint>>()
    private var instances = 1

    /**
     * Replaces the known endpoints by [listed]. Those in [departing] get no new requests. [instances] is the number of
     * instances that send to the same endpoints.
     */
    fun update(listed: List<ListedEndpoint>, departing: Set<EndpointId>, instances: Int) {
        this.instances = instances
        models.values.forEach { it.fleet.instances = instances }
        val ids = listed.mapTo(HashSet()) { it.endpoint.id }
        endpoints.keys.filter { it !in ids }.forEach { remove(it) }
        for (entry in listed) {
            val id = entry.endpoint.id
            if (endpoints[id]?.description != entry.endpoint) remove(id)
            val known = endpoints.getOrPut(id) { add(entry.endpoint) }
            known.isDeparting = entry.state == ListedState.DEPARTING || id in departing
            findView(known)?.isDeparting = known.isDeparting
        }
    }

    /** Returns the engines, whose load reports are to be read, in the order in which they were first listed. */
    fun listedEngines(): List<EndpointDescription> =
        endpoints.values.map { it.description }.filter { it.kind == EndpointKind.Engine }

    /** Returns the models that at least one engine runs. */
    fun runningModels(): Set<ModelId> = models.filterValues { it.fleet.engines.isNotEmpty() }.keys.toSet()

    /**
     * Applies [report], received at [now] and measured about [lag] earlier. Duplicate and older reports are ignored.
     */
    fun applyReport(report: LoadReport, now: MonotonicTime, lag: Duration) {
        val known = endpoints[report.engine] ?: return
        known.missedReports = 0
        findView(known)?.isUnreachable = false
        if (!known.recordIfNew(report)) return
        if (known.model != report.target.model) {
            known.model?.let { models[it]?.fleet?.remove(report.engine) }
            known.model = report.target.model
        }
        val fleet = models.getOrPut(report.target.model) { createModelEngines() }.fleet
        fleet.add(report.engine, known.description.dataCentre, known.health).isDeparting = known.isDeparting
        fleet.applyReport(report, now, lag)
    }

    /**
     * Records that the load report of the engine [id] could not be read. After two misses in a row it gets no requests.
     */
    fun recordMissedReport(id: EndpointId) {
        val known = endpoints[id] ?: return
        known.missedReports++
        findView(known)?.isUnreachable = known.isUnreachable
    }

    /**
     * Chooses engines of [model] for [demand] that are not in [exclude], or returns null if there are none. Failing
     * engines are chosen only if no other engine is available.
     */
    fun chooseEngine(
        model: ModelId,
        demand: GenerationDemand,
        exclude: Set<EndpointId>,
        now: MonotonicTime,
    ): Placement? {
        val router = models[model]?.router ?: return null
        return router.choose(demand, now, Exclusion(exclude))
            ?: router.choose(demand, now, Exclusion(exclude, excludeFailing = false))
    }

    /**
     * Chooses an endpoint of [service] that is not in [exclude], or returns null if there is none. Prefers healthy
     * endpoints, then those with the fewest running requests, then those in the instance's own data centre.
     */
    fun chooseService(service: ServiceId, exclude: Set<EndpointId>, now: MonotonicTime): EndpointDescription? {
        val candidates = services[service].orEmpty().filter { !it.isDeparting && it.description.id !in exclude }
        val healthy = candidates.filter { it.health.canSend(now) }.ifEmpty { candidates }
        return healthy.shuffled(random)
            .minWithOrNull(compareBy({ it.runningRequests }, { it.description.dataCentre != dataCentre }))
            ?.description
    }

    /** Records that [demand] for [model] is sent to [placement] at [now]. */
    fun recordDispatch(model: ModelId, demand: GenerationDemand, placement: Placement, now: MonotonicTime) {
        models[model]?.fleet?.recordDispatch(demand, placement, now)
        recordStart(placement.decode.id, now)
    }

    /** Records that a request is sent to the endpoint [id] at [now]. */
    fun recordStart(id: EndpointId, now: MonotonicTime) {
        val known = endpoints[id] ?: return
        known.runningRequests++
        known.health.recordStart(now)
    }

    /** Records that a request ended at the endpoint [id] at [now]. */
    fun recordCompletion(id: EndpointId, failed: Boolean, now: MonotonicTime) {
        val known = endpoints[id] ?: return
        known.runningRequests--
        if (failed) known.health.recordFailure(now) else known.health.recordSuccess()
    }

    /** Returns the description of the endpoint [id], or null if it is not known. */
    fun findDescription(id: EndpointId): EndpointDescription? = endpoints[id]?.description

    /** Returns the numbers of known, failing and departing endpoints at [now]. */
    fun countEndpoints(now: MonotonicTime): EndpointCounts = EndpointCounts(
        known = endpoints.size,
        failing = endpoints.values.count { it.isUnreachable || !it.health.canSend(now) },
        departing = endpoints.values.count { it.isDeparting },
    )

    private fun add(description: EndpointDescription): KnownEndpoint {
        val known = KnownEndpoint(description, EndpointHealth(healthSettings))
        val kind = description.kind
        if (kind is EndpointKind.Plain) services.getOrPut(kind.service) { ArrayList() }.add(known)
        return known
    }

    private fun findView(known: KnownEndpoint): EngineView? =
        known.model?.let { models[it]?.fleet?.find(known.description.id) }

    private fun remove(id: EndpointId) {
        val known = endpoints.remove(id) ?: return
        services.values.forEach { it.remove(known) }
        known.model?.let { models[it]?.fleet?.remove(id) }
    }

    private fun createModelEngines(): ModelEngines {
        val fleet = FleetView(costs, instances)
        return ModelEngines(fleet, createRouter(fleet, policy, random))
    }

    private class ModelEngines(val fleet: FleetView, val router: Router)

    private class KnownEndpoint(val description: EndpointDescription, val health: EndpointHealth) {
        var isDeparting = false
        var model: ModelId? = null
        var runningRequests = 0
        var missedReports = 0
        val isUnreachable: Boolean get() = missedReports >= MISSED_REPORTS_TO_UNREACHABLE
        private var lastSequence = -1L
        private var olderReports = 0

        /**
         * Records the sequence number of [report] and returns whether the report is new. A restarted engine counts from
         * zero again, so the third older report in a row is taken as a restart and counts as new.
         */
        fun recordIfNew(report: LoadReport): Boolean {
            if (report.sequence == lastSequence) return false
            val older = report.sequence < lastSequence
            olderReports = if (older) olderReports + 1 else 0
            if (older && olderReports < OLDER_REPORTS_TO_RESTART) return false
            lastSequence = report.sequence
            return true
        }
    }

    private companion object {
        const val MISSED_REPORTS_TO_UNREACHABLE = 2
        const val OLDER_REPORTS_TO_RESTART = 3
    }
}

/** The numbers of endpoints that are known to an instance, not chosen because they fail, and departing. */
data class EndpointCounts(val known: Int, val failing: Int, val departing: Int)
