package org.nutmegspring.gateway.peers

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.CallerTarget
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The addresses of an instance, for the other instances and for callers, as registered in the platform's store.
 *
 * @property dataCentre where the instance runs, null in the record of an older version
 */
@Serializable
data class InstanceRecord(
    val exchangeAddress: String,
    val callerAddress: String,
    val dataCentre: DataCentreId? = null,
)

/** The other instances registered in the store, their latest reports, and the usage counts of their processes. */
class PeerTable(
    private val self: InstanceId,
    private val ownIncarnation: Incarnation,
) {
    private class ReceivedReport(val report: PeerReport, val receivedAt: MonotonicTime)

    private val records = HashMap<InstanceId, InstanceRecord>()
    private val reports = HashMap<InstanceId, ReceivedReport>()

    /** When each process was last heard of, and until when it is not taken for ended. */
    private class Sighting(val seenAt: MonotonicTime, val validUntil: MonotonicTime)

    private val sightings = HashMap<Incarnation, Sighting>()
    private var nextRelayed = 0
    private val countsByWindow = sortedMapOf<Long, MutableMap<Incarnation, Map<OrganisationId, Long>>>()

    /** Whether the store has listed the instances to this one. */
    var isListed: Boolean = false
        private set

    /** Records that the store has listed the instances. */
    fun recordListing() {
        isListed = true
    }

    /** The records of the other instances. */
    val registered: Map<InstanceId, InstanceRecord> get() = records

    /** Adds or replaces the record of an instance. The own record is ignored. */
    fun register(instance: InstanceId, record: InstanceRecord) {
        if (instance != self) records[instance] = record
    }

    /** Removes an instance whose record was deleted, with its last report. Its usage counts stay. */
    fun unregister(instance: InstanceId) {
        records.remove(instance)
        reports.remove(instance)
    }

    /** Records [report], unless a newer one was received before. Returns whether it was recorded. */
    fun recordReport(report: PeerReport, now: MonotonicTime): Boolean {
        if (reports[report.instance]?.let { isOutdated(report, it, now) } ?: false) return false
        reports[report.instance] = ReceivedReport(report, now)
        sightings[report.incarnation] = Sighting(now, now + report.lifetime(REPORT_TIMEOUT))
        report.windows.forEach { countsByWindow.getOrPut(it.window) { mutableMapOf() }[report.incarnation] = it.counts }
        report.endedProcesses.forEach { mergeEndedProcess(it, now) }
        while (countsByWindow.size > MAXIMUM_WINDOWS) countsByWindow.remove(countsByWindow.firstKey())
        sightings.values.removeIf { now - it.seenAt > ENDED_PROCESS_RETENTION }
        return true
    }

    /**
     * Whether [report] was overtaken by [last]. A process may seem to have started before the one that it replaced when
     * the wall clock was set back in between, so that this tells a late report only while the last one is valid.
     */
    private fun isOutdated(report: PeerReport, last: ReceivedReport, now: MonotonicTime): Boolean = when {
        report.incarnation == last.report.incarnation -> report.sequence <= last.report.sequence
        now - last.receivedAt >= last.report.lifetime(REPORT_TIMEOUT) -> false
        else -> report.startedAtMilliseconds < last.report.startedAtMilliseconds
    }

    /** Merges counts relayed by another instance. The counts of a process only grow, so that greater ones are newer. */
    private fun mergeEndedProcess(ended: EndedProcessReport, now: MonotonicTime) {
        if (ended.incarnation == ownIncarnation) return
        sightings.putIfAbsent(ended.incarnation, Sighting(now, now + REPORT_TIMEOUT))
        for (counted in ended.windows) {
            countsByWindow.getOrPut(counted.window) { mutableMapOf() }
                .merge(ended.incarnation, counted.counts) { known, relayed ->
                    if (relayed.values.sum() > known.values.sum()) relayed else known
                }
        }
    }

    /**
     * Returns the recent counts of processes that stopped reporting: those of [MAXIMUM_RELAYED_PROCESSES] at a time, in
     * turn. The size of a report thus does not depend on how many instances are silent.
     */
    fun nextEndedProcesses(now: MonotonicTime): List<EndedProcessReport> {
        val newest = countsByWindow.keys.lastOrNull() ?: return emptyList()
        val unreported = countsByWindow.tailMap(newest - UNREPORTED_WINDOWS)
        val ended = sightings.filter { (process, sighting) ->
            now >= sighting.validUntil && unreported.values.any { process in it }
        }.keys.sortedBy { it.value }
        if (ended.isEmpty()) return emptyList()
        val count = minOf(MAXIMUM_RELAYED_PROCESSES, ended.size)
        val relayed = List(count) { ended[(nextRelayed + it) % ended.size] }
        nextRelayed = (nextRelayed + count) % ended.size
        return relayed.map { process ->
            val windows = unreported.mapNotNull { (window, counts) ->
                counts[process]?.let { WindowReport(window, it) }
            }
            EndedProcessReport(process, windows)
        }
    }

    /** Returns the instances that reported to hold the duties and whose report is still valid at [now]. */
    fun dutyHolders(now: MonotonicTime): Set<InstanceId> =
        liveReports(now).filter { it.isDutyHolder }.map { it.instance }.toSet()

    /** Returns the newest version of the configuration that a valid report names at [now], or null. */
    fun newestConfiguration(now: MonotonicTime): Long? = liveReports(now).maxOfOrNull { it.configurationVersion }

    /** Returns the latest reports of the registered instances whose report is still valid at [now]. */
    fun liveReports(now: MonotonicTime): List<PeerReport> =
        reports.values.filter {
            now - it.receivedAt < it.report.lifetime(REPORT_TIMEOUT) && it.report.instance in records
        }.map { it.report }

    /** Returns the instances that reported to be ready and whose report is still valid at [now]. */
    fun readyInstances(now: MonotonicTime): Set<InstanceId> =
        liveReports(now).filter { it.phase == InstancePhase.READY }.map { it.instance }.toSet()

    /** Returns the counts of each process of the other instances in [window]. */
    fun windowCounts(window: Long): List<Map<OrganisationId, Long>> = countsByWindow[window]?.values?.toList().orEmpty()

    /**
     * Returns the instances that callers may use, by address: the ready ones with fresh evidence of the newest
     * configuration, or all ready ones when none has it.
     */
    fun callerTargets(own: OwnAddress, now: MonotonicTime): List<CallerTarget> {
        val ready = liveReports(now).filter { it.phase == InstancePhase.READY }
        val fresh = ready.filter { report -> report.evidenceAgeMilliseconds.isFresh() }.map(::callerTarget)
        val best = fresh + listOfNotNull(own.target.takeIf { own.isReady && own.evidenceAgeMilliseconds.isFresh() })
        val all = best.ifEmpty { ready.map(::callerTarget) + listOfNotNull(own.target.takeIf { own.isReady }) }
        return all.sortedBy { it.address }
    }

    private fun callerTarget(report: PeerReport): CallerTarget =
        records.getValue(report.instance).let { CallerTarget(it.callerAddress, it.dataCentre) }

    private fun Long?.isFresh() = this != null && milliseconds < FRESH_EVIDENCE

    private companion object {
        /** Many report intervals in a small fleet. Lost datagrams cause shorter gaps between reports. */
        val REPORT_TIMEOUT = 1500.milliseconds

        /** Below the age of evidence at which an instance can no longer serve requests with keys. */
        val FRESH_EVIDENCE = 2800.milliseconds
        const val MAXIMUM_WINDOWS = 12
        const val MAXIMUM_RELAYED_PROCESSES = 2

        /** The number of windows before the newest that may not be reported to the platform yet. */
        const val UNREPORTED_WINDOWS = 2L

        /** Longer than the windows that may not be reported yet last. */
        val ENDED_PROCESS_RETENTION = 30.seconds
    }
}

/** The address of this instance for callers, with what decides whether it is offered. */
data class OwnAddress(
    val target: CallerTarget,
    val isReady: Boolean,
    val evidenceAgeMilliseconds: Long?,
)
