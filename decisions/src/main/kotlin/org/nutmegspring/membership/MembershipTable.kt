package org.nutmegspring.membership

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A report of the state of a member. [sequence] increases with each change of the state that the member reports. */
data class MemberReport(val state: MemberState, val sequence: Long)

/**
 * The timeouts and limits of a [MembershipTable].
 *
 * @property suspicionTimeout the time without evidence after which a member is no longer considered alive
 * @property joinGracePeriod the time after a member first became known during which its evidence may exceed the
 * suspicion timeout, by up to the same time
 * @property retentionPeriod the time without evidence after which a member that is not listed is removed
 * @property digestSize the maximum number of members in one digest
 */
data class MembershipTiming(
    val suspicionTimeout: Duration = 5.seconds,
    val joinGracePeriod: Duration = 10.seconds,
    val retentionPeriod: Duration = 60.seconds,
    val digestSize: Int = 4,
)

/**
 * The membership of the fleet as one instance knows it, from the platform's eventually consistent list and from the
 * members' reports.
 *
 * Evidence that a member is alive is dated from the start of the exchange that delivered it, so that its age is never
 * underestimated, whatever the message delay.
 *
 * It is not thread-safe.
 */
class MembershipTable(
    private val self: InstanceId,
    private val timing: MembershipTiming = MembershipTiming(),
) {
    private class Member(var report: MemberReport, var evidenceAt: MonotonicTime, var storeEvidenceAt: MonotonicTime?)

    private val members = sortedMapOf<InstanceId, Member>()
    private var listing = emptyMap<InstanceId, ListedInstance>()
    private val firstKnownAt = HashMap<InstanceId, MonotonicTime>()
    private var digestCursor: InstanceId? = null

    /** The ids in the platform's list as last received. */
    val listed: Set<InstanceId> get() = listing.keys

    /** Replaces the listing by [instances], received at [now], and removes members past the retention period. */
    fun updateListing(instances: List<ListedInstance>, now: MonotonicTime) {
        listing = instances.associateBy { it.id }
        listing.keys.forEach { firstKnownAt.putIfAbsent(it, now) }
        members.entries.removeIf { (id, member) ->
            id !in listing && now - member.evidenceAt > timing.retentionPeriod
        }
        firstKnownAt.keys.removeIf { it !in listing && it !in members }
    }

    /** Merges reports received in reply to an exchange that began at [begunAt]. */
    fun mergeReplies(reports: List<MemberReport>, begunAt: MonotonicTime) {
        reports.filter { it.state.id != self }.forEach { merge(it, begunAt) }
    }

    /**
     * Merges an unsolicited report received at [now]. Its transit time is unknown, so it is no evidence of when the
     * member was alive. If nothing else is known of the member, it is considered alive for the join grace period,
     * counted from when it first became known.
     */
    fun mergeUnsolicited(report: MemberReport, now: MonotonicTime) {
        if (report.state.id == self) return
        val known = members[report.state.id]
        if (known == null) {
            members[report.state.id] = Member(report, now - timing.suspicionTimeout, null)
            firstKnownAt.putIfAbsent(report.state.id, now)
        } else {
            known.update(report)
        }
    }

    /** Returns the other members considered alive, sorted by id. */
    fun peers(now: MonotonicTime): List<MemberState> =
        members.values.filter { isConsideredAlive(it, now) }.map { it.stateAt(now) }

    /** Returns the known state of [id], whether or not it is considered alive, or null if it is unknown. */
    fun find(id: InstanceId, now: MonotonicTime): MemberState? = members[id]?.stateAt(now)

    /** Returns the inner address of [id], or null if it is unknown. */
    fun innerAddress(id: InstanceId): String? = members[id]?.report?.state?.innerAddress ?: listing[id]?.innerAddress

    /** Returns the ids of the instances to send heartbeats to: all others that are listed or considered alive. */
    fun heartbeatTargets(now: MonotonicTime): List<InstanceId> {
        val alive = members.values.filter { isConsideredAlive(it, now) }.map { it.report.state.id }
        return (listing.keys + alive).filter { it != self }.distinct().sorted()
    }

    /**
     * Returns reports of members considered alive, at most [MembershipTiming.digestSize], in rotation: each digest
     * continues after the last member of the previous one.
     */
    fun digest(now: MonotonicTime): List<MemberReport> {
        val alive = members.values.filter { isConsideredAlive(it, now) }
        if (alive.isEmpty()) return emptyList()
        val start = digestCursor?.let { cursor -> alive.indexOfFirst { it.report.state.id > cursor } } ?: 0
        val first = start.coerceAtLeast(0)
        val chosen = List(minOf(timing.digestSize, alive.size)) { alive[(first + it) % alive.size] }
        digestCursor = chosen.last().report.state.id
        return chosen.map { MemberReport(it.stateAt(now), it.report.sequence) }
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
        if (sameProcess && other.sequence > report.sequence) report = other
    }

    private fun isConsideredAlive(member: Member, now: MonotonicTime): Boolean {
        val id = member.report.state.id
        val isNew = firstKnownAt[id]?.let { now - it <= timing.joinGracePeriod } ?: false
        val age = now - member.evidenceAt
        return age <= timing.suspicionTimeout || (isNew && age <= timing.suspicionTimeout + timing.joinGracePeriod)
    }

    private fun Member.stateAt(now: MonotonicTime): MemberState = report.state.copy(
        evidenceAge = now - evidenceAt,
        storeEvidenceAge = storeEvidenceAt?.let { now - it },
    )
}
