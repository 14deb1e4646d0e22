package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.forwarding.CrashGuard
import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.observe.EventLoopDelay
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.StatusSnapshot
import org.nutmegspring.gateway.peers.ExchangeTraffic
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.store.FeedInquiry
import org.nutmegspring.memory.MemoryBudget
import org.nutmegspring.platform.StoreEra
import kotlin.time.DurationUnit

/** The state of an instance as gauges and as snapshots for the log. */
internal class InstanceGauges(
    private val currentConfiguration: CurrentConfiguration,
    private val endpoints: EndpointTable,
    private val peers: PeerTable,
    private val connections: EndpointConnections,
    private val traffic: ExchangeTraffic,
    private val crashGuard: CrashGuard,
    private val loopDelay: EventLoopDelay,
    private val inquiry: FeedInquiry,
    private val clocks: InstanceClocks,
    private val storeEra: () -> StoreEra?,
    private val duties: InstanceDuties,
) {
    /** Registers the gauges with [metrics]. */
    fun register(metrics: GatewayMetrics) {
        metrics.registerGauge("gateway_configuration_version") {
            currentConfiguration.configuration?.version?.toDouble() ?: 0.0
        }
        metrics.registerGauge("gateway_evidence_age_seconds") {
            currentConfiguration.evidenceAge(clocks.ages)?.let { it.inWholeMilliseconds / MILLISECONDS_PER_SECOND }
                ?: -1.0
        }
        metrics.registerGauge("gateway_endpoint_evidence_age_seconds") {
            endpoints.evidence.age(clocks.ages)?.toDouble(DurationUnit.SECONDS) ?: -1.0
        }
        metrics.registerGauge("gateway_event_loop_delay_seconds") { loopDelay.last.toDouble(DurationUnit.SECONDS) }
        metrics.registerGauge("gateway_report_sent_bytes") { traffic.sentBytes.toDouble() }
        metrics.registerGauge("gateway_report_received_bytes") { traffic.receivedBytes.toDouble() }
        metrics.registerGauge("gateway_report_size_bytes") { traffic.reportBytes.toDouble() }
        metrics.registerGauge("gateway_feed_calls") { inquiry.ownCalls.toDouble() }
        metrics.registerGauge("gateway_feed_replica_reads") { inquiry.replicaReads.toDouble() }
        metrics.registerGauge("gateway_feed_outdated_replica_reads") { inquiry.outdatedReplicaReads.toDouble() }
        metrics.registerGauge("gateway_relay_answers") { inquiry.answeredQuestions.toDouble() }
        metrics.registerGauge("gateway_registered_peers") { peers.registered.size.toDouble() }
        metrics.registerGauge("gateway_live_peers") { peers.liveReports(clocks.monotonic.now()).size.toDouble() }
        metrics.registerGauge("gateway_connections_opened") { connections.openedCount.toDouble() }
        metrics.registerGauge("gateway_connections_with_stray_bytes") { connections.strayBytesCount.toDouble() }
        metrics.registerGauge("gateway_answer_held_bytes") { connections.memory.heldBytes.toDouble() }
        metrics.registerGauge("gateway_answers_without_memory") { connections.memory.refusedCount.toDouble() }
        metrics.registerGauge("gateway_engine_crashes") { crashGuard.crashCount.toDouble() }
        metrics.registerGauge("gateway_quarantined_prompt_parts") { crashGuard.quarantinedCount.toDouble() }
        metrics.registerGauge("gateway_quarantine_refusals") { crashGuard.refusalCount.toDouble() }
        metrics.registerGauge("gateway_store_era") { storeEra()?.value?.toDouble() ?: -1.0 }
        metrics.registerGauge("gateway_duty_held") { if (duties.isHolding) 1.0 else 0.0 }
        registerEndpoints(metrics)
    }

    private fun registerEndpoints(metrics: GatewayMetrics) {
        metrics.registerGauge("gateway_endpoints") { endpoints.allStates().size.toDouble() }
        metrics.registerGauge("gateway_endpoints_with_speed") {
            endpoints.allStates().count { it.speed.isTold }.toDouble()
        }
        metrics.registerGauge("gateway_limited_endpoints") {
            endpoints.allStates().count { it.limit.requestsPerSecond != null }.toDouble()
        }
        metrics.registerGauge("gateway_limited_endpoint_requests") {
            endpoints.allStates().sumOf { it.limit.sentRequests }.toDouble()
        }
        registerSizing(metrics)
    }

    private fun registerSizing(metrics: GatewayMetrics) {
        metrics.registerGauge("gateway_target_endpoints") { duties.targetEndpoints.toDouble() }
        metrics.registerGauge("gateway_demand_prompt_tokens_per_second") {
            duties.sumDemand { it.promptTokensPerMillisecond } * MILLISECONDS_PER_SECOND
        }
        metrics.registerGauge("gateway_demand_output_slots") { duties.sumDemand { it.outputSlots } }
        metrics.registerGauge("gateway_demand_refused_share") { duties.sumDemand { it.refusedShare } }
    }

    /** Returns a snapshot. The longest delay of the event loop is counted from the previous one. */
    fun takeStatus() = StatusSnapshot(
        livePeers = peers.liveReports(clocks.monotonic.now()).size,
        registeredPeers = peers.registered.size,
        sentBytes = traffic.sentBytes,
        receivedBytes = traffic.receivedBytes,
        reportBytes = traffic.reportBytes,
        endpointEvidenceAge = endpoints.evidence.age(clocks.ages),
        longestLoopDelay = loopDelay.takeLongest(),
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}

/** Registers what callers make the instance hold with [metrics]. */
internal fun MemoryBudget.registerGauges(metrics: GatewayMetrics) {
    metrics.registerGauge("gateway_caller_held_bytes") { heldBytes.toDouble() }
    metrics.registerGauge("gateway_caller_connections") { connectionCount.toDouble() }
    metrics.registerGauge("gateway_caller_paused_connections") { pausedCount.toDouble() }
    metrics.registerGauge("gateway_caller_pauses") { pauseCount.toDouble() }
    metrics.registerGauge("gateway_callers_refused_for_memory") { refusedCount.toDouble() }
    metrics.registerGauge("gateway_callers_closed_for_memory") { closedCount.toDouble() }
}
