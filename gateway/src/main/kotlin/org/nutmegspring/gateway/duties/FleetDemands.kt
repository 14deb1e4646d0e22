package org.nutmegspring.gateway.duties

import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.forwarding.DemandCounter
import org.nutmegspring.gateway.peers.DemandReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.spending.DemandCounts
import org.nutmegspring.spending.FleetDemand
import org.nutmegspring.spending.FleetDemandEstimate
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the demand of the fleet on the services whose endpoints follow it, from own counts and reports.
 *
 * Instances that take part in the duties receive the reports of all others. The next holder thus has a history already.
 *
 * @param countInstances returns the number of instances of the fleet
 */
class FleetDemands(
    private val ownProcess: Incarnation,
    private val ownCounts: DemandCounter,
    private val services: () -> Collection<ServiceDefinition>,
    private val countInstances: () -> Int,
    private val clock: MonotonicClock,
) {
    private val startedAt = clock.now()
    private val estimates = HashMap<ServiceId, FleetDemandEstimate>()
    private var sampledAt: MonotonicTime? = null

    /** Adds the demand that this instance received to [report]. The entries are limited to [MAXIMUM_SERVICES]. */
    fun addTo(report: PeerReport): PeerReport {
        val demands = listSizedServices().map { service ->
            val counts = ownCounts.find(service)
            DemandReport(service, counts.promptTokens, counts.outputMilliseconds, counts.refusedTokens)
        }
        if (demands.isEmpty()) return report
        return report.copy(
            demands = demands,
            demandElapsedMilliseconds = (clock.now() - startedAt).inWholeMilliseconds,
        )
    }

    /** Records the demand in [report]. Services that are not sized by demand are skipped. */
    fun applyReport(report: PeerReport) {
        if (report.demands.isEmpty()) return
        val sized = listSizedServices().toSet()
        report.demands.filter { it.service in sized }.forEach {
            findEstimate(it.service).record(
                report.incarnation,
                DemandCounts(it.promptTokens, it.outputMilliseconds, it.refusedTokens),
                report.demandElapsedMilliseconds.milliseconds,
                report.lifetime(REPORT_LIFETIME),
                clock.now(),
            )
        }
    }

    /** Adds the present demand to the history, unless that was done within the last [SAMPLE_INTERVAL]. */
    fun sample() {
        val now = clock.now()
        if (sampledAt?.let { now - it < SAMPLE_INTERVAL } ?: false) return
        sampledAt = now
        val sized = listSizedServices()
        estimates.keys.retainAll(sized.toSet())
        sized.forEach { service ->
            val estimate = findEstimate(service)
            estimate.record(ownProcess, ownCounts.find(service), now - startedAt, REPORT_LIFETIME, now)
            estimate.sample(countInstances(), now)
        }
    }

    /** Returns the demand on [service], or null when none was measured in the last seconds. */
    fun find(service: ServiceId): FleetDemand? = estimates[service]?.read(clock.now())

    private fun findEstimate(service: ServiceId) = estimates.getOrPut(service) { FleetDemandEstimate() }

    private fun listSizedServices(): List<ServiceId> =
        services().filter { it.engines != null && it.scaling?.isSizedByDemand == true }
            .map { it.id }
            .sortedBy { it.value }
            .take(MAXIMUM_SERVICES)

    private companion object {
        /** Demand is reported at most once a second; two reports may be lost. */
        val REPORT_LIFETIME = 4.seconds
        val SAMPLE_INTERVAL = 500.milliseconds

        /** A deployment has one or two services with engines; each takes about 50 bytes of a report. */
        const val MAXIMUM_SERVICES = 4
    }
}
