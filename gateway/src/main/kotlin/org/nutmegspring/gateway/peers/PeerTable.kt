package org.nutmegspring.gateway.peers

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Where an instance is reached by the others, as it stands in the platform's store. */
@kotlinx.serialization.Serializable
data class InstanceRecord(
    val exchangeAddress: String,
    val callerAddress: String,
)

/** The other instances: those registered in the store, and what each told last. */
class PeerTable(
    private val self: InstanceId,
    private val own: Incarnation,
) {
    private class Heard(val report: PeerReport, val at: MonotonicTime)

    private val records = HashMap<InstanceId, InstanceRecord>()
    private val heard = HashMap<InstanceId, Heard>()
    private val lastHeard = HashMap<Incarnation, MonotonicTime>()
    private val usage = sortedMapOf<Long, MutableMap<Incarnation, Map<OrganisationId, Long>>>()

    /** The other instances that are registered. */
    val registered: Map<InstanceId, InstanceRecord> get() = records

    /** Takes the record of an instance. */
    fun register(instance: InstanceId, record: InstanceRecord) {
        if (instance != self) records[instance] = record
    }

    /** Forgets an instance whose record is gone. */
    fun unregister(instance: InstanceId) {
        records.remove(instance)
        heard.remove(instance)
    }

    /** Takes [report], unless a newer one was heard. Returns whether it was taken. */
    fun hear(report: PeerReport, now: MonotonicTime): Boolean {
        val last = heard[report.instance]?.report
        if (last != null) {
            val isSameProcess = last.incarnation == report.incarnation
            if (isSameProcess && report.sequence <= last.sequence) return false
            if (!isSameProcess && report.startedAtMilliseconds < last.startedAtMilliseconds) return false
        }
        heard[report.instance] = Heard(report, now)
        lastHeard[report.incarnation] = now
        report.windows.forEach { usage.getOrPut(it.window) { mutableMapOf() }[report.incarnation] = it.counts }
        report.endedProcesses.forEach { takeEnded(it, now) }
        while (usage.size > KEPT_WINDOWS) usage.remove(usage.firstKey())
        lastHeard.values.removeIf { now - it > ENDED_KEPT }
        return true
    }

    /** Takes counts at second hand. Those of a process only grow, so that the greater ones are the later ones. */
    private fun takeEnded(ended: EndedProcessReport, now: MonotonicTime) {
        if (ended.incarnation == own) return
        lastHeard.putIfAbsent(ended.incarnation, now)
        for (counted in ended.windows) {
            usage.getOrPut(counted.window) { mutableMapOf() }.merge(ended.incarnation, counted.counts) { known, told ->
                if (told.values.sum() > known.values.sum()) told else known
            }
        }
    }

    /** Returns what processes counted that fell silent lately. */
    fun endedProcesses(now: MonotonicTime): List<EndedProcessReport> =
        lastHeard.filterValues { now - it > SILENCE }.keys.mapNotNull { ended ->
            val newest = usage.keys.lastOrNull() ?: return@mapNotNull null
            val counted = usage.tailMap(newest - UNREPORTED_WINDOWS)
                .mapNotNull { (window, counts) -> counts[ended]?.let { WindowReport(window, it) } }
            EndedProcessReport(ended, counted).takeIf { counted.isNotEmpty() }
        }

    /** Returns the reports of the instances that live as far as is known at [now]. */
    fun live(now: MonotonicTime): List<PeerReport> =
        heard.values.filter {
            now - it.at < it.report.lifetime(SILENCE) && it.report.instance in records
        }.map { it.report }

    /** Returns the instances that live and are ready as far as is known at [now]. */
    fun ready(now: MonotonicTime): Set<InstanceId> =
        live(now).filter { it.phase == InstancePhase.READY }.map { it.instance }.toSet()

    /** Returns what the other instances counted in [window]. */
    fun usage(window: Long): List<Map<OrganisationId, Long>> = usage[window]?.values?.toList().orEmpty()

    /** Returns the addresses that callers should use: live instances whose configuration is proved, or else any. */
    fun callerAddresses(own: OwnAddress, now: MonotonicTime): List<String> {
        val ready = live(now).filter { it.phase == InstancePhase.READY }
        val proved = ready.filter { report -> report.evidenceAgeMilliseconds.isFresh() }.map { it.callerAddress }
        val ownProved = listOfNotNull(own.address.takeIf { own.isReady && own.evidenceAgeMilliseconds.isFresh() })
        val best = ownProved + proved
        if (best.isNotEmpty()) return best.sorted()
        return (ready.map { it.callerAddress } + listOfNotNull(own.address.takeIf { own.isReady })).sorted()
    }

    private fun Long?.isFresh() = this != null && milliseconds < FRESH_EVIDENCE

    private companion object {
        /** Many exchanges in a small fleet; a shorter silence happens when messages are lost. */
        val SILENCE = 1500.milliseconds

        /** Below the age at which an instance can no longer serve requests with keys. */
        val FRESH_EVIDENCE = 2800.milliseconds
        const val KEPT_WINDOWS = 12

        /** Windows before the newest that may not be reported yet. */
        const val UNREPORTED_WINDOWS = 2L

        /** Longer than such windows last. */
        val ENDED_KEPT = 30.seconds
    }
}

/** This instance as an address for callers. */
data class OwnAddress(
    val address: String,
    val isReady: Boolean,
    val evidenceAgeMilliseconds: Long?,
)
