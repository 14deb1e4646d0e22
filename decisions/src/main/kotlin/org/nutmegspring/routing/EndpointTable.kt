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
 * The endpoints that one instance knows, and the choice among them. It is not safe for concurrent use.
 *
 * @property dataCentre the data centre of the instance
 */
class EndpointTable(
    val dataCentre: DataCentreId,
    private val costs: EngineCosts,
    private val random: Random,
    private val policy: RoutingPolicy = RoutingPolicy.ExpectedDelay(),
    private val health: HealthSetting = HealthSetting(),
) {
    private val endpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
    private val models = LinkedHashMap<ModelId, ModelEngines>()
    private val services = HashMap<ServiceId, MutableList<KnownEndpoint>>()
    private var instances = 1

    /** Replaces the known endpoints by [listed]; those in [departing] get no new work. */
    fun update(listed: List<ListedEndpoint>, departing: Set<EndpointId>, instances: Int) {
        this.instances = instances
        models.values.forEach { it.fleet.instances = instances }
        val ids = listed.mapTo(HashSet()) { it.endpoint.id }
        endpoints.keys.filter { it !in ids }.forEach { remove(it) }
        for (entry in listed) {
            val id = entry.endpoint.id
            if (endpoints[id]?.description != entry.endpoint) remove(id)
            val known = endpoints.getOrPut(id) { add(entry.endpoint) }
            known.departing = entry.state == ListedState.DEPARTING || id in departing
            view(known)?.departing = known.departing
        }
    }

    /** Returns the endpoints whose load is read, in the order in which they were first listed. */
    fun engines(): List<EndpointDescription> =
        endpoints.values.map { it.description }.filter { it.kind == EndpointKind.Engine }

    /** Returns the models that some engine runs. */
    fun models(): Set<ModelId> = models.filterValues { it.fleet.engines.isNotEmpty() }.keys.toSet()

    /** Applies [report], received at [now] and about as old as [lag]. A report that came before is ignored. */
    fun reported(report: LoadReport, now: MonotonicTime, lag: Duration) {
        val known = endpoints[report.engine] ?: return
        known.unreadReports = 0
        view(known)?.unreachable = false
        if (!known.accepts(report)) return
        if (known.model != report.target.model) {
            known.model?.let { models[it]?.fleet?.remove(report.engine) }
            known.model = report.target.model
        }
        val fleet = models.getOrPut(report.target.model) { modelEngines() }.fleet
        fleet.add(report.engine, known.description.dataCentre, known.health).departing = known.departing
        fleet.apply(report, now, lag)
    }

    /** Tells that the load of the engine [id] could not be read. After a second time in a row it gets no work. */
    fun unreported(id: EndpointId) {
        val known = endpoints[id] ?: return
        known.unreadReports++
        view(known)?.unreachable = known.unreachable
    }

    /** Chooses an engine of [model] for [demand] that is not in [exclude], or returns null when there is none. */
    fun chooseEngine(
        model: ModelId,
        demand: GenerationDemand,
        exclude: Set<EndpointId>,
        now: MonotonicTime,
    ): Placement? {
        val router = models[model]?.router ?: return null
        return router.choose(demand, now, Exclusion(exclude))
            ?: router.choose(demand, now, Exclusion(exclude, failing = false))
    }

    /** Chooses an endpoint of [service] that is not in [exclude], or returns null when there is none. */
    fun chooseService(service: ServiceId, exclude: Set<EndpointId>, now: MonotonicTime): EndpointDescription? {
        val candidates = services[service].orEmpty().filter { !it.departing && it.description.id !in exclude }
        val healthy = candidates.filter { it.health.permits(now) }.ifEmpty { candidates }
        return healthy.shuffled(random)
            .minWithOrNull(compareBy({ it.running }, { it.description.dataCentre != dataCentre }))
            ?.description
    }

    /** Counts that [demand] for [model] goes to [placement] at [now]. */
    fun sent(model: ModelId, demand: GenerationDemand, placement: Placement, now: MonotonicTime) {
        models[model]?.fleet?.sent(demand, placement, now)
        started(placement.decode.id, now)
    }

    /** Counts that work goes to the endpoint [id] at [now]. */
    fun started(id: EndpointId, now: MonotonicTime) {
        val known = endpoints[id] ?: return
        known.running++
        known.health.started(now)
    }

    /** Counts that work ended at the endpoint [id] at [now]. */
    fun finished(id: EndpointId, failed: Boolean, now: MonotonicTime) {
        val known = endpoints[id] ?: return
        known.running--
        if (failed) known.health.failed(now) else known.health.succeeded()
    }

    /** Returns the description of the endpoint [id], or null when it is not known. */
    fun description(id: EndpointId): EndpointDescription? = endpoints[id]?.description

    /** Returns how many endpoints are known, left out because they fail, and departing. */
    fun counts(now: MonotonicTime): EndpointCounts = EndpointCounts(
        known = endpoints.size,
        failing = endpoints.values.count { it.unreachable || !it.health.permits(now) },
        departing = endpoints.values.count { it.departing },
    )

    private fun add(description: EndpointDescription): KnownEndpoint {
        val known = KnownEndpoint(description, EndpointHealth(health))
        val kind = description.kind
        if (kind is EndpointKind.Plain) services.getOrPut(kind.service) { ArrayList() }.add(known)
        return known
    }

    private fun view(known: KnownEndpoint): EngineView? =
        known.model?.let { models[it]?.fleet?.find(known.description.id) }

    private fun remove(id: EndpointId) {
        val known = endpoints.remove(id) ?: return
        services.values.forEach { it.remove(known) }
        known.model?.let { models[it]?.fleet?.remove(id) }
    }

    private fun modelEngines(): ModelEngines {
        val fleet = FleetView(costs, instances)
        return ModelEngines(fleet, router(fleet, policy, random))
    }

    private class ModelEngines(val fleet: FleetView, val router: Router)

    private class KnownEndpoint(val description: EndpointDescription, val health: EndpointHealth) {
        var departing = false
        var model: ModelId? = null
        var running = 0
        var unreadReports = 0
        val unreachable: Boolean get() = unreadReports >= UNREAD_REPORTS
        private var lastSequence = -1L
        private var repeats = 0

        /** Whether [report] is new. An engine that restarts counts from zero again. */
        fun accepts(report: LoadReport): Boolean {
            if (report.sequence == lastSequence) return false
            val older = report.sequence < lastSequence
            repeats = if (older) repeats + 1 else 0
            if (older && repeats < REPORTS_OF_RESTART) return false
            lastSequence = report.sequence
            return true
        }
    }

    private companion object {
        const val UNREAD_REPORTS = 2
        const val REPORTS_OF_RESTART = 3
    }
}

/** How many endpoints an instance knows, leaves out because they fail, and leaves out because they depart. */
data class EndpointCounts(val known: Int, val failing: Int, val departing: Int)
