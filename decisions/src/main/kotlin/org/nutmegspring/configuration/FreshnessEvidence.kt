package org.nutmegspring.configuration

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time bounds on the freshness of the configuration. All instances must use the same values.
 *
 * @property freshnessBound the maximum age of the evidence at which an instance still admits requests
 * @property clockMargin the maximum drift between the clocks of two processes over the freshness bound
 * @property streamFreshnessBound the maximum age of the evidence at which an admitted stream may continue
 * @property acceptanceWindow the maximum time from the first push of a change to the decision that it is accepted
 */
data class FreshnessTiming(
    val freshnessBound: Duration = 4.seconds,
    val clockMargin: Duration = 200.milliseconds,
    val acceptanceWindow: Duration = 2.seconds,
    val streamFreshnessBound: Duration = 10.seconds,
) {
    /** The time after acceptance by which every instance has applied the change or has stopped admitting requests. */
    val maximumPropagationDelay: Duration get() = freshnessBound + clockMargin
}

/**
 * A claim that no revision newer than [revision] had been accepted at [asOf], a reading of this process's clock.
 */
data class FreshnessClaim(
    val revision: Revision,
    val asOf: MonotonicTime,
)

/**
 * The state of an instance's configuration, as the instance itself reports it.
 *
 * @property evidenceAge the age, at the time of the reply, of its evidence that [revision] is current, or null if it
 * has none
 * @property canVote whether it may count in a quorum: it holds every revision that it acknowledged before a restart
 */
data class PeerStatement(
    val peer: InstanceId,
    val revision: Revision,
    val evidenceAge: Duration?,
    val canVote: Boolean,
)

/**
 * Evidence that the applied configuration is current.
 *
 * An accepted revision was written to the head of the chain in the store and is held by a quorum of the listed
 * instances. A process is therefore known to be current as of the latest of these times:
 * - the time at which it sent a read of the head that returned no newer revision,
 * - the time as of which another process was known to be current at the same or an older revision,
 * - the time of the earliest request to a quorum of instances that all reported no newer revision.
 *
 * A restarted process may have acknowledged a change that it no longer holds. It is therefore excluded from quorums
 * until the window in which that acknowledgement could count has passed, unless it read the head and the head was not
 * newer than the applied revision.
 *
 * It is not thread-safe.
 *
 * @param startedAt the start time of this process
 */
class FreshnessEvidence(
    private val self: InstanceId,
    private val timing: FreshnessTiming,
    private val startedAt: MonotonicTime,
) {
    private val votes = HashMap<InstanceId, FreshnessClaim>()
    private var confirmed: MonotonicTime? = null
    private var pending: FreshnessClaim? = null

    /** Whether this process may count in a quorum. */
    var canVote: Boolean = false
        private set

    /** The newest revision that this process knows to exist. */
    var greatestKnown: Revision = Revision.NONE
        private set

    private val votesFrom: MonotonicTime get() = startedAt + timing.acceptanceWindow + timing.clockMargin

    /** Records that a read of the head, sent at [sentAt], returned [revision], while [applied] is applied. */
    fun recordHeadRead(revision: Revision, sentAt: MonotonicTime, applied: Revision) {
        recordRevision(revision)
        if (revision <= applied) canVote = true
        addClaim(FreshnessClaim(revision, sentAt), applied)
    }

    /** Records a [statement] received in reply to a request sent at [sentAt], while [applied] is applied. */
    fun recordPeerStatement(statement: PeerStatement, sentAt: MonotonicTime, applied: Revision) {
        recordRevision(statement.revision)
        if (statement.canVote) votes[statement.peer] = FreshnessClaim(statement.revision, sentAt)
        statement.evidenceAge?.let { addClaim(FreshnessClaim(statement.revision, sentAt - it), applied) }
    }

    /** Records that [revision] is known to exist. */
    fun recordRevision(revision: Revision) {
        greatestKnown = maxOf(greatestKnown, revision)
    }

    /** Records that [applied] was applied. */
    fun recordApplied(applied: Revision) {
        recordRevision(applied)
        val claim = pending ?: return
        if (claim.revision > applied) return
        pending = null
        confirm(claim.asOf)
    }

    /** Renews the evidence if the votes of the [listed] instances, including this one, form a quorum. */
    fun countVotes(listed: Set<InstanceId>, applied: Revision, now: MonotonicTime) {
        votes.keys.retainAll(listed)
        val needed = quorumSize(listed.size) - if (canVote) 1 else 0
        if (needed == 0) return confirm(now)
        val times = votes.filter { (peer, vote) -> peer != self && vote.revision <= applied }.values.map { it.asOf }
        val oldest = times.filter { canVote || it >= votesFrom }.sortedDescending().getOrNull(needed - 1) ?: return
        confirm(oldest)
    }

    /** Returns the age of the evidence at [now], or null if there is none. */
    fun age(now: MonotonicTime): Duration? = confirmed?.let { now - it }

    /** Returns whether this process may admit requests at [now]. */
    fun canAdmit(now: MonotonicTime): Boolean = age(now)?.let { it <= timing.freshnessBound } ?: false

    private fun addClaim(claim: FreshnessClaim, applied: Revision) {
        if (claim.revision <= applied) return confirm(claim.asOf)
        val known = pending
        if (known == null || claim.asOf > known.asOf) pending = claim
    }

    private fun confirm(asOf: MonotonicTime) {
        if (asOf >= votesFrom) canVote = true
        confirmed = maxOf(confirmed ?: asOf, asOf)
    }
}
