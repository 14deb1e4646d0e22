package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.duties.FleetDemands
import org.nutmegspring.gateway.endpoints.ColdEndpoints
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.forwarding.CrashGuard
import org.nutmegspring.gateway.forwarding.EndpointLimits
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.peers.ColdEndpointReport
import org.nutmegspring.gateway.peers.EndpointLimitReport
import org.nutmegspring.gateway.peers.EndpointLoadReport
import org.nutmegspring.gateway.peers.EndpointSpeedReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.PromptPartEntry
import org.nutmegspring.gateway.store.StoreHistory
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.placement.PromptPart
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.MonotonicClock
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Applies the reports of other instances, and collects what this instance reports of endpoints. */
internal class PeerReports(
    private val self: InstanceId,
    private val peers: PeerTable,
    private val quotas: QuotaTable,
    private val endpoints: EndpointTable,
    private val crashGuard: CrashGuard,
    private val limits: EndpointLimits,
    private val history: StoreHistory,
    private val demands: FleetDemands,
    private val clock: MonotonicClock,
    private val cold: ColdEndpoints? = null,
) {
    private var nextUnreachable = 0
    private var nextSpeed = 0
    private var reportedBusy: Set<EndpointId> = emptySet()

    /** Applies [report]; outdated reports and those of this instance are skipped. */
    fun applyReport(report: PeerReport) {
        val now = clock.now()
        if (report.instance == self || !peers.recordReport(report, now)) return
        quotas.recordPeerReport(report)
        demands.applyReport(report)
        history.recordReported(StoreEra(report.storeEra), report.storeEraAgeMilliseconds.milliseconds)
        val lifetime = report.lifetime(LOAD_LIFETIME, LOAD_LIFETIME_INTERVALS)
        val avoidanceEnd = now + report.lifetime(AVOIDANCE_LIFETIME)
        report.loads.forEach {
            endpoints.findState(it.endpoint)?.recordPeerLoad(
                report.instance,
                it.waitingTokens,
                it.requests,
                now + lifetime,
            )
        }
        report.changingEngines.forEach { endpoints.findState(it)?.avoidUntil(avoidanceEnd) }
        report.unreachableEndpoints.forEach { endpoints.findState(it)?.recordUnreachableFromPeer(now, avoidanceEnd) }
        report.promptParts.forEach(crashGuard::applyEntry)
        report.limits.forEach(limits::applyReport)
        report.speeds.forEach {
            endpoints.findState(it.endpoint)?.speed?.adoptPeerFactor(it.workTimePercent / PERCENT)
        }
        if (report.hasTraffic) cold?.recordTraffic()
        report.coldEndpoints.forEach(limits::applyColdReport)
        report.prefills.forEach { prefill ->
            val chain = prefill.chainHashes.zip(prefill.tokens, ::PromptPart)
            endpoints.findState(prefill.engine)?.recordPrefill(chain)
        }
    }

    /** The era of the store. */
    val storeEra: StoreEra get() = history.era.value ?: StoreEra.FIRST

    /** Returns for how long at least the era has lasted; zero in the first one, which has no beginning. */
    fun storeEraAge(): Duration = history.age()?.takeIf { storeEra != StoreEra.FIRST } ?: Duration.ZERO

    /**
     * Returns the endpoints that do not answer this instance. If most endpoints of a service do not, the fault is
     * more likely on this side, and none of them is reported.
     */
    fun unreachableEndpoints(): List<EndpointId> {
        val now = clock.now()
        return endpoints.allStates().groupBy { it.endpoint.service }.values.flatMap { ofService ->
            val unreachable = ofService.filter { it.isUnreachable(now) }
            unreachable.takeIf { it.size <= ofService.size * MAXIMUM_UNREACHABLE_SHARE }.orEmpty()
        }.map { it.endpoint.id }
    }

    /** Adds the demand that this instance received to [report]. */
    fun addDemands(report: PeerReport): PeerReport = demands.addTo(report)

    /** Returns what is known of [count] prompt parts under which engines crashed, in turn when there are more. */
    fun nextPromptParts(count: Int): List<PromptPartEntry> = crashGuard.nextEntries(count)

    /** Returns [count] limits that endpoints named to this instance, in turn when there are more. */
    fun nextLimits(count: Int): List<EndpointLimitReport> = limits.nextReports(count)

    /** Returns the speeds of [count] endpoints that this instance has observed, in turn when there are more. */
    fun nextSpeeds(count: Int): List<EndpointSpeedReport> {
        val observed = endpoints.allStates().filter { it.speed.isTold }.mapNotNull { state ->
            state.speed.ownFactor?.let { EndpointSpeedReport(state.endpoint.id, (it * PERCENT).roundToInt()) }
        }
        val reported = List(minOf(count, observed.size)) { observed[(nextSpeed + it) % observed.size] }
        nextSpeed += reported.size
        return reported
    }

    /** Returns [count] endpoints that are cold or were until lately, in turn when there are more. */
    fun nextColdEndpoints(count: Int): List<ColdEndpointReport> = limits.nextColdReports(count)

    /** Whether some instance has sent a request to an endpoint; false where cold endpoints are not limited. */
    val hasTraffic: Boolean
        get() = cold != null && cold.hasTraffic && endpoints.allStates().any { cold.isLimited(it.endpoint.service) }

    /** Returns [count] of the endpoints that do not answer this instance, in turn when there are more. */
    fun nextUnreachableEndpoints(count: Int): List<EndpointId> {
        val unreachable = unreachableEndpoints()
        val reported = List(minOf(count, unreachable.size)) { unreachable[(nextUnreachable + it) % unreachable.size] }
        nextUnreachable += reported.size
        return reported
    }

    /**
     * Returns the [count] greatest loads of this instance at endpoints, and a load of zero for endpoints that were
     * reported before and are not any more.
     */
    fun nextLoads(count: Int): List<EndpointLoadReport> {
        val busiest = endpoints.allStates().filter { it.ownLoad.requests > 0 }
            .sortedByDescending { it.ownLoad.waitingTokens }
            .take(count)
        val reported = busiest.map { it.endpoint.id }.toSet()
        val ended = reportedBusy - reported
        reportedBusy = reported
        return busiest.map { EndpointLoadReport(it.endpoint.id, it.ownLoad.waitingTokens, it.ownLoad.requests) } +
            ended.map { EndpointLoadReport(it) }
    }

    private companion object {
        /** Several exchanges in a small fleet; after that the reported work has ended. */
        val LOAD_LIFETIME = 1.seconds

        /** Only until the next report is due: an old load keeps work away from an idle engine. */
        const val LOAD_LIFETIME_INTERVALS = 1

        /** Several exchanges in a small fleet; the sender repeats what still applies. */
        val AVOIDANCE_LIFETIME = 500.milliseconds

        /** Maximum share of a service's endpoints that is reported as unreachable. */
        const val MAXIMUM_UNREACHABLE_SHARE = 0.5

        const val PERCENT = 100.0
    }
}
