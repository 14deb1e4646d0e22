package org.nutmegspring.measure.routing

import org.nutmegspring.admission.AdmissionQueue
import org.nutmegspring.endpoint.CacheEvent
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.measure.engine.EngineModel
import org.nutmegspring.measure.roles.RoleChanges
import org.nutmegspring.measure.roles.RoleControl
import org.nutmegspring.measure.roles.RoleDemandMeter
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.routing.FleetView
import org.nutmegspring.routing.Placement
import org.nutmegspring.routing.RoutingPolicy
import org.nutmegspring.routing.createRouter
import org.nutmegspring.time.MonotonicTime
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** One run of one policy. */
data class RoutingRunSetting(
    val office: Office,
    val policy: RoutingPolicy,
    val traffic: TrafficSetting,
    val seed: Long,
    val admission: Boolean = false,
    val besideStreamsFactor: Double = 1.0,
    val length: Duration = 75.seconds,
    val warmUp: Duration = 15.seconds,
)

/**
 * What one run gave.
 *
 * @property worstServedShare the share of requests that met both goals, of the organisation for which it is least
 * @property goodput requests in a second that met both latency goals
 * @property imbalance the standard deviation over the engines of the work done in a second, divided by its mean, on
 *     average over the run
 */
data class RoutingRunResult(
    val goodput: Double,
    val offered: Double,
    val cacheHitShare: Double,
    val firstTokenPercentileSeconds: Double,
    val imbalance: Double,
    val refusedShare: Double,
    val worstServedShare: Double,
)

/** Runs one policy at seven instances, each with its own view of the engines, on virtual time. */
class RoutingRun(private val setting: RoutingRunSetting, private val roles: RoleControl? = null) {
    private val schedule = VirtualSchedule()
    private val costs = EngineCosts(
        crossDataCentreRoundTripSeconds = setting.office.distance.toDouble(DurationUnit.SECONDS) * 2,
        prefillSlowdownFactor = setting.besideStreamsFactor,
    )
    private val random = Random(setting.seed)
    private val reportRandom = Random(random.nextLong())
    private val traffic = Traffic(setting.traffic, Random(random.nextLong()))
    private val centres = setting.office.dataCentres
    private val engines = List(setting.office.engines) {
        EngineModel(EndpointId("engine-$it"), centres[it % centres.size], costs, CACHE_PIECES, schedule)
    }
    private val instances = List(INSTANCES) { entryInstance(it) }
    private val outcomes = RequestOutcomes()
    private val demandMeter = RoleDemandMeter()
    private val imbalances = ArrayList<Double>()
    private var workSeconds = engines.map { it.workSeconds }
    private val warmUpEnd = MonotonicTime.ZERO + setting.warmUp
    private val end = MonotonicTime.ZERO + setting.length

    /** Runs until the end of the setting's length and for as long as requests that arrived before can be in time. */
    fun run(): RoutingRunResult {
        engines.forEachIndexed { index, engine -> scheduleReport(engine, REPORT_INTERVAL * (index + 1) / engines.size) }
        scheduleArrival()
        scheduleImbalance()
        roles?.let { RoleChanges(engines, it, schedule, demandMeter).start() }
        schedule.runUntil(end + DRAIN)
        val seconds = (end - warmUpEnd).inWholeMilliseconds / MILLISECONDS_PER_SECOND
        return RoutingRunResult(
            goodput = outcomes.good / seconds,
            offered = outcomes.offered / seconds,
            cacheHitShare = outcomes.cacheHitShare,
            firstTokenPercentileSeconds = outcomes.firstTokenPercentile,
            imbalance = imbalances.average(),
            refusedShare = outcomes.refused.toDouble() / maxOf(1, outcomes.offered),
            worstServedShare = outcomes.worstServedShare,
        )
    }

    private fun entryInstance(index: Int): EntryModel {
        val fleet = FleetView(costs, INSTANCES)
        engines.forEach { fleet.add(it.id, it.dataCentre) }
        val router = createRouter(fleet, setting.policy, Random(random.nextLong()))
        val admission = if (setting.admission) AdmissionQueue<EntryModel.HeldRequest>() else null
        return EntryModel(fleet, router, centres[index % centres.size], admission, schedule)
    }

    private fun scheduleReport(engine: EngineModel, delay: Duration) {
        schedule.after(delay) {
            val report = engine.report()
            val events = report.cachedPieces.filter { reportRandom.nextDouble() >= LOST_CACHE_EVENTS }
            schedule.after(REPORT_LAG) { deliver(report.copy(cachedPieces = emptyList())) }
            schedule.after(CACHE_EVENT_LAG) { deliverEvents(engine, events) }
            if (schedule.now() < end) scheduleReport(engine, REPORT_INTERVAL)
        }
    }

    private fun deliver(report: LoadReport) {
        instances.forEach { it.fleet.applyReport(report, schedule.now(), REPORT_LAG) }
    }

    private fun deliverEvents(engine: EngineModel, events: List<CacheEvent>) {
        for (instance in instances) {
            val slot = instance.fleet.find(engine.id)?.slot ?: continue
            events.forEach { instance.fleet.cache.record(it.piece, slot, it.present) }
        }
    }

    private fun scheduleImbalance() {
        schedule.after(IMBALANCE_INTERVAL) {
            val current = engines.map { it.workSeconds }
            if (schedule.now() >
                warmUpEnd
            ) {
                imbalances += imbalance(current.zip(workSeconds) { now, before -> now - before })
            }
            workSeconds = current
            if (schedule.now() < end) scheduleImbalance()
        }
    }

    private fun scheduleArrival() {
        val request = traffic.next()
        schedule.after((request.delaySeconds * MILLISECONDS_PER_SECOND).milliseconds) {
            if (schedule.now() < end) {
                dispatch(request)
                scheduleArrival()
            }
        }
    }

    private fun dispatch(request: OfferedRequest) {
        val counted = schedule.now() >= warmUpEnd
        if (counted) outcomes.arrived(request.organisation)
        val instance = instances[random.nextInt(INSTANCES)]
        val outcomes = outcomes.takeIf { counted }
        instance.offer(
            TrackedRequest(request, schedule, outcomes, instance.dataCentre, demandMeter) { tracked, placement ->
                start(tracked, placement, instance.dataCentre)
            },
        )
    }

    private fun start(tracked: TrackedRequest, placement: Placement, origin: DataCentreId) {
        val near = placement.prefill.dataCentre == origin
        schedule.after(if (near) Duration.ZERO else setting.office.distance) {
            tracked.start(engine(placement.prefill.id), engine(placement.decode.id), costs)
        }
    }

    private fun engine(id: EndpointId): EngineModel = engines.first { it.id == id }

    private companion object {
        const val INSTANCES = 7
        const val CACHE_PIECES = 240
        const val LOST_CACHE_EVENTS = 0.1
        const val MILLISECONDS_PER_SECOND = 1e3
        val REPORT_INTERVAL = 500.milliseconds
        val REPORT_LAG = 400.milliseconds
        val CACHE_EVENT_LAG = 2.seconds
        val IMBALANCE_INTERVAL = 1.seconds
        val DRAIN = 30.seconds
    }
}

/** Returns the standard deviation of [values] divided by their mean. */
internal fun imbalance(values: List<Double>): Double {
    val mean = values.average()
    if (mean == 0.0) return 0.0
    return sqrt(values.sumOf { (it - mean) * (it - mean) } / values.size) / mean
}
