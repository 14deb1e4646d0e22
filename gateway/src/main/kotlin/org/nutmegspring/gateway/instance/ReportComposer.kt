package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.forwarding.EngineChoice
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.forwarding.UsageCounter
import org.nutmegspring.gateway.peers.AddressedReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.ReportEntries
import org.nutmegspring.gateway.peers.ReportPacing
import org.nutmegspring.gateway.peers.WindowReport
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Composes the reports of this instance to the others.
 *
 * Usage counts and the demand are sent only to the instances that hold the duties or may do so next. They are most of
 * the bytes, and no other instance needs them.
 */
internal class ReportComposer(
    private val self: LeaseHolder,
    private val startedAtMilliseconds: Long,
    private val peers: PeerTable,
    private val currentConfiguration: CurrentConfiguration,
    private val quotas: QuotaTable,
    private val reports: PeerReports,
    private val engineChoice: EngineChoice,
    private val usage: UsageCounter,
    private val duties: InstanceDuties,
    private val pacing: ReportPacing,
    private val clocks: InstanceClocks,
) {
    private val startedAt = clocks.monotonic.now()
    private var sequence = 0L
    private var usageSentAt: MonotonicTime? = null

    /** Differs between instances, so that they do not all inform the same one. */
    private var nextStarting = self.instance.value.hashCode()

    /** Returns the next reports of an instance in [phase] whose reports are [interval] apart. */
    fun compose(phase: InstancePhase, interval: Duration): List<AddressedReport> {
        val now = clocks.monotonic.now()
        val entries = pacing.computeEntries(peers.registered.size)
        val report = createReport(phase, interval, entries, now)
        val usageReaders = if (isUsageDue(now)) peers.dutyHolders(now) + duties.participants() else emptySet()
        val starting = nextStartingPeers(now)
        val groups = peers.registered.entries.groupBy({
            Pair(it.key in usageReaders, it.key in starting)
        }, { it.value })
        return groups.map { (group, records) ->
            val (readsUsage, isStarting) = group
            val withHistory = if (isStarting) withChargeHistory(report, entries.charges) else report
            val addressed = if (readsUsage) withUsage(withHistory) else withHistory
            AddressedReport(addressed, records.map { it.exchangeAddress })
        }
    }

    private fun createReport(
        phase: InstancePhase,
        interval: Duration,
        entries: ReportEntries,
        now: MonotonicTime,
    ): PeerReport = PeerReport(
        instance = self.instance,
        incarnation = self.incarnation,
        startedAtMilliseconds = startedAtMilliseconds,
        sequence = ++sequence,
        intervalMilliseconds = interval.inWholeMilliseconds,
        phase = phase,
        configurationVersion = currentConfiguration.configuration?.version ?: 0,
        evidenceAgeMilliseconds = currentConfiguration.evidenceAge(clocks.ages)?.inWholeMilliseconds,
        isDutyHolder = duties.isHolding,
        changingEngines = duties.changingEngines(),
        unreachableEndpoints = reports.nextUnreachableEndpoints(entries.endpoints),
        charges = quotas.nextCharges(entries.charges),
        loads = reports.nextLoads(entries.loads),
        prefills = engineChoice.drainPrefillReports(entries.prefills),
        limits = reports.nextLimits(entries.limits),
        speeds = reports.nextSpeeds(entries.limits),
        coldEndpoints = reports.nextColdEndpoints(entries.limits),
        hasTraffic = reports.hasTraffic,
        promptParts = reports.nextPromptParts(entries.promptParts),
        storeEra = reports.storeEra.value,
        storeEraAgeMilliseconds = reports.storeEraAge().inWholeMilliseconds,
        runningForMilliseconds = (now - startedAt).inWholeMilliseconds,
        chargeCoverageMilliseconds = quotas.findCoverage()?.inWholeMilliseconds,
    )

    private fun withChargeHistory(report: PeerReport, organisations: Int): PeerReport =
        report.copy(chargeHistory = quotas.createHistory(organisations))

    /**
     * Returns instances that do not know what the fleet charged, [MAXIMUM_STARTING_PEERS] at a time, in turn. One
     * history is enough for each, and all other instances send theirs as well.
     */
    private fun nextStartingPeers(now: MonotonicTime): Set<InstanceId> {
        val starting = peers.liveReports(now).filter { report ->
            report.chargeCoverageMilliseconds?.let { quotas.canInform(it.milliseconds) } ?: false
        }.map { it.instance }.sortedBy { it.value }
        if (starting.isEmpty()) return emptySet()
        val first = nextStarting
        nextStarting += MAXIMUM_STARTING_PEERS
        return List(minOf(MAXIMUM_STARTING_PEERS, starting.size)) {
            starting[Math.floorMod(first + it, starting.size)]
        }.toSet()
    }

    private fun isUsageDue(now: MonotonicTime): Boolean {
        val isDue = usageSentAt?.let { now - it >= USAGE_INTERVAL } ?: true
        if (isDue) usageSentAt = now
        return isDue
    }

    private fun withUsage(report: PeerReport): PeerReport = reports.addDemands(report).copy(
        windows = usage.snapshot().map { (window, requests) -> WindowReport(window, requests) }.takeLast(SENT_WINDOWS),
        endedProcesses = peers.nextEndedProcesses(clocks.monotonic.now()),
    )

    private companion object {
        val USAGE_INTERVAL = 1.seconds

        /** A history is several times as large as the rest of a report. */
        const val MAXIMUM_STARTING_PEERS = 2

        /** The current window and those that may not be reported to the platform yet. */
        const val SENT_WINDOWS = 3
    }
}
