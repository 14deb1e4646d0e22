package org.nutmegspring.membership

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What an instance tells of a member. [beat] grows with each change of what the member tells of itself. */
data class MemberReport(val state: MemberState, val beat: Long)

/**
 * The times of a membership table.
 *
 * @property suspicion a member without evidence for this long is no longer believed to run
 * @property joinGrace how long a newly listed instance is believed to run before any evidence
 * @property forgetting a member that is not listed is forgotten after this long without evidence
 * @property digestSize the most members that one digest tells of
 */
data class MembershipTiming(
    val suspicion: Duration = 5.seconds,
    val joinGrace: Duration = 10.seconds,
    val forgetting: Duration = 60.seconds,
    val digestSize: Int = 4,
)

/**
 * What one instance knows of the others, from the platform's lagging list and from their own reports.
 *
 * Evidence that a member runs counts from the time at which the exchange that brought it was begun, so an age is never
 * too small, however long messages take. The table has no lock; its owner serialises the calls.
 */
class MembershipTable(
    private val self: InstanceId,
    private val timing: MembershipTiming = MembershipTiming(),
) {
    private class Member(var report: MemberReport, var evidenceAt: MonotonicTime, var storeEvidenceAt: MonotonicTime?)

    private val members = sortedMapOf<InstanceId, Member>()
    private var listing = emptyMap<InstanceId, ListedInstance>()
    private val firstKnown = HashMap<InstanceId, MonotonicTime>()
    private var digestCursor: InstanceId? = null

    /** The ids of the last listing. */
    val listed: Set<InstanceId> get() = listing.keys

    /** Takes the platform's list that was asked for at [now]. */
    fun list(instances: List<ListedInstance>, now: MonotonicTime) {
        listing = instances.associateBy { it.id }
        listing.keys.forEach { firstKnown.putIfAbsent(it, now) }
        members.entries.removeIf { (id, member) ->
            id !in listing && now - member.evidenceAt > timing.forgetting
        }
        firstKnown.keys.removeIf { it !in listing && it !in members }
    }

    /** Takes reports that answer an exchange begun at [begunAt]. */
    fun replied(reports: List<MemberReport>, begunAt: MonotonicTime) {
        reports.filter { it.state.id != self }.forEach { merge(it, begunAt) }
    }

    /**
     * Takes a report that came unasked at [now]. How long it was under way is not known, so it is no evidence of when
     * the member ran; a member of which nothing else is known is believed to run for the grace of a new one.
     */
    fun told(report: MemberReport, now: MonotonicTime) {
        if (report.state.id == self) return
        val known = members[report.state.id]
        if (known == null) {
            members[report.state.id] = Member(report, now - timing.suspicion, null)
            firstKnown.putIfAbsent(report.state.id, now)
        } else {
            known.update(report)
        }
    }

    /** Returns the others that are believed to run, in the order of their ids. */
    fun peers(now: MonotonicTime): List<MemberState> =
        members.values.filter { believed(it, now) }.map { it.stateAt(now) }

    /** Returns what is known of [id], whether or not it is believed to run. */
    fun find(id: InstanceId, now: MonotonicTime): MemberState? = members[id]?.stateAt(now)

    /** Returns the inner address of [id], or null when it is not known. */
    fun innerAddress(id: InstanceId): String? = members[id]?.report?.state?.innerAddress ?: listing[id]?.innerAddress

    /** Returns the ids with which to exchange heartbeats: all that are listed or believed to run. */
    fun contacts(now: MonotonicTime): List<InstanceId> {
        val believed = members.values.filter { believed(it, now) }.map { it.report.state.id }
        return (listing.keys + believed).filter { it != self }.distinct().sorted()
    }

    /** Returns reports of members believed to run, at most a digest's size, going on where the last digest ended. */
    fun digest(now: MonotonicTime): List<MemberReport> {
        val believed = members.values.filter { believed(it, now) }
        if (believed.isEmpty()) return emptyList()
        val start = digestCursor?.let { cursor -> believed.indexOfFirst { it.report.state.id > cursor } } ?: 0
        val first = start.coerceAtLeast(0)
        val chosen = List(minOf(timing.digestSize, believed.size)) { believed[(first + it) % believed.size] }
        digestCursor = chosen.last().report.state.id
        return chosen.map { MemberReport(it.stateAt(now), it.report.beat) }
    }

    private fun merge(report: MemberReport, begunAt: MonotonicTime) {
        val state = report.state
        val evidenceAt = begunAt - state.evidenceAge
        val storeEvidenceAt = state.storeEvidenceAge?.let { begunAt - it }
        val known = members[state.id]
        val replaces = known == null ||
            (known.report.state.incarnation != state.incarnation && evidenceAt > known.evidenceAt)
        if (replaces) {
            members[state.id] = Member(report, evidenceAt, storeEvidenceAt)
            return
        }
        if (known.report.state.incarnation != state.incarnation) return
        known.update(report)
        known.evidenceAt = maxOf(known.evidenceAt, evidenceAt)
        known.storeEvidenceAt = listOfNotNull(known.storeEvidenceAt, storeEvidenceAt).maxOrNull()
    }

    private fun Member.update(other: MemberReport) {
        val sameProcess = report.state.incarnation == other.state.incarnation
        if (sameProcess && other.beat > report.beat) report = other
    }

    private fun believed(member: Member, now: MonotonicTime): Boolean {
        val id = member.report.state.id
        val isNew = firstKnown[id]?.let { now - it <= timing.joinGrace } ?: false
        val age = now - member.evidenceAt
        return age <= timing.suspicion || (isNew && age <= timing.suspicion + timing.joinGrace)
    }

    private fun Member.stateAt(now: MonotonicTime): MemberState = report.state.copy(
        evidenceAge = now - evidenceAt,
        storeEvidenceAge = storeEvidenceAt?.let { now - it },
    )
}
