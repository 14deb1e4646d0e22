package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.peers.EndpointLoadReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.placement.PromptPart
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes up what other instances report, and tells them of the own work at endpoints. */
internal class PeerReports(
    private val self: InstanceId,
    private val peers: PeerTable,
    private val quotas: QuotaTable,
    private val endpoints: EndpointTable,
    private val clock: MonotonicClock,
) {
    private var toldIdle: Set<EndpointId> = emptySet()

    /** Takes up [report]; an old one or the own is passed over. */
    fun hear(report: PeerReport) {
        val now = clock.now()
        if (report.instance == self || !peers.recordReport(report, now)) return
        quotas.heard(report)
        val lifetime = report.lifetime(LOAD_LIFETIME)
        val newsUntil = now + report.lifetime(NEWS_LIFETIME)
        report.loads.forEach { load ->
            endpoints.state(load.endpoint)?.heard(report.instance, load.waitingTokens, load.requests, now + lifetime)
        }
        report.changingEngines.forEach { endpoints.state(it)?.avoid(newsUntil) }
        report.unreachableEndpoints.forEach { endpoints.state(it)?.unreachableElsewhere(now, newsUntil) }
        report.prefills.forEach { prompt ->
            val chain = prompt.chainHashes.zip(prompt.tokens, ::PromptPart)
            endpoints.state(prompt.engine)?.reads(chain)
        }
    }

    /**
     * Returns the endpoints that do not answer this instance. Where most of a service don't, the fault is more likely
     * on this side, and nothing is told.
     */
    fun unreachable(): List<EndpointId> {
        val now = clock.now()
        return endpoints.all().groupBy { it.endpoint.service }.values.flatMap { ofService ->
            val silent = ofService.filter { it.isUnreachable(now) }
            silent.takeIf { it.size <= ofService.size * GREATEST_TOLD_SHARE }.orEmpty()
        }.map { it.endpoint.id }
    }

    /** Returns the own work at endpoints, and once more those where it has just ended. */
    fun ownLoads(): List<EndpointLoadReport> {
        val busy = endpoints.all().filter { it.own.requests > 0 }
        val ended = toldIdle - busy.map { it.endpoint.id }.toSet()
        toldIdle = busy.map { it.endpoint.id }.toSet()
        return busy.map { EndpointLoadReport(it.endpoint.id, it.own.waitingTokens, it.own.requests) } +
            ended.map { EndpointLoadReport(it, 0, 0) }
    }

    private companion object {
        /** Several exchanges in a small fleet; later the work told of has ended. */
        val LOAD_LIFETIME = 1.seconds

        /** Several exchanges in a small fleet; the sender repeats what still holds. */
        val NEWS_LIFETIME = 500.milliseconds

        /** The greatest part of a service's endpoints that others are told not to use. */
        const val GREATEST_TOLD_SHARE = 0.5
    }
}
