package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.forwarding.EngineChoice
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.forwarding.UsageCounter
import org.nutmegspring.gateway.peers.AddressedReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.ReportPacing
import org.nutmegspring.gateway.peers.WindowReport
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Composes the reports of this instance to the others.
 *
 * Usage counts are sent only to the instances that report usage or may do so next. They are most of the bytes, and no
 * other instance needs them.
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
    private val clock: MonotonicClock,
) {
    private var sequence = 0L
    private var usageSentAt: MonotonicTime? = null

    /** Returns the next reports of an instance in [phase] whose reports are [interval] apart. */
    fun compose(phase: InstancePhase, interval: Duration): List<AddressedReport> {
        val now = clock.now()
        val entries = pacing.computeEntries(peers.registered.size)
        val report = PeerReport(
            instance = self.instance,
            incarnation = self.incarnation,
            startedAtMilliseconds = startedAtMilliseconds,
            sequence = ++sequence,
            intervalMilliseconds = interval.inWholeMilliseconds,
            phase = phase,
            configurationVersion = currentConfiguration.configuration?.version ?: 0,
            evidenceAgeMilliseconds = currentConfiguration.evidenceAge(now)?.inWholeMilliseconds,
            isDutyHolder = duties.isHolding,
            changingEngines = duties.changingEngines(),
            unreachableEndpoints = reports.nextUnreachableEndpoints(entries.endpoints),
            charges = quotas.nextCharges(entries.charges),
            loads = reports.nextLoads(entries.loads),
            prefills = engineChoice.drainPrefillReports(entries.prefills),
            limits = reports.nextLimits(entries.limits),
            promptParts = reports.nextPromptParts(entries.promptParts),
            storeEra = reports.storeEra.value,
            storeEraAgeMilliseconds = reports.storeEraAge().inWholeMilliseconds,
        )
        val usageReaders = if (isUsageDue(now)) peers.dutyHolders(now) + duties.participants() else emptySet()
        val (readers, others) = peers.registered.entries.partition { it.key in usageReaders }
        return listOf(
            AddressedReport(report, others.map { it.value.exchangeAddress }),
            AddressedReport(withUsage(report), readers.map { it.value.exchangeAddress }),
        )
    }

    private fun isUsageDue(now: MonotonicTime): Boolean {
        val isDue = usageSentAt?.let { now - it >= USAGE_INTERVAL } ?: true
        if (isDue) usageSentAt = now
        return isDue
    }

    private fun withUsage(report: PeerReport): PeerReport = report.copy(
        windows = usage.snapshot().map { (window, requests) -> WindowReport(window, requests) }.takeLast(SENT_WINDOWS),
        endedProcesses = peers.nextEndedProcesses(clock.now()),
    )

    private companion object {
        val USAGE_INTERVAL = 1.seconds

        /** The current window and those that may not be reported to the platform yet. */
        const val SENT_WINDOWS = 3
    }
}
