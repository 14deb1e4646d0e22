package org.nutmegspring.configuration

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times that all instances of one system share.
 *
 * @property currencyBound the age from which evidence of being current no longer lets an instance admit
 * @property clockMargin what the clocks of two processes may differ by over the bound
 * @property streamBound the age from which it no longer lets an admitted stream go on
 * @property acceptanceWindow the longest time from the first push of a change to the decision that it is accepted
 */
data class CurrencyTiming(
    val currencyBound: Duration = 4.seconds,
    val clockMargin: Duration = 200.milliseconds,
    val acceptanceWindow: Duration = 2.seconds,
    val streamBound: Duration = 10.seconds,
) {
    /** The time after acceptance at which every instance applies the change or has stopped admitting. */
    val inForceAfter: Duration get() = currencyBound + clockMargin
}

/**
 * Says that no revision above [revision] was accepted by the time [asOf] of this process's clock.
 */
data class CurrencyClaim(
    val revision: Revision,
    val asOf: MonotonicTime,
)

/**
 * What another instance replied about its configuration.
 *
 * @property evidenceAge the age, when it replied, of its evidence that [revision] is current; null without evidence
 * @property voting whether it holds every revision that it acknowledged in an earlier life
 */
data class PeerStatement(
    val peer: InstanceId,
    val revision: Revision,
    val evidenceAge: Duration?,
    val voting: Boolean,
)

/**
 * Evidence that the applied configuration is current.
 *
 * An accepted revision is the head of the chain in the store and is held by a quorum of the listed instances. So a
 * process is current as of the moment at which it sent a read of the head that returned nothing greater, at which
 * another current process was current, or at which a quorum, each asked after that moment, held nothing greater.
 *
 * A process that restarts may have acknowledged a change that it no longer holds. Until the window in which that
 * acknowledgement could count has passed, it takes no part in a quorum unless it read the head.
 *
 * It is not thread-safe.
 *
 * @param startedAt when this process started
 */
class CurrencyEvidence(
    private val self: InstanceId,
    private val timing: CurrencyTiming,
    private val startedAt: MonotonicTime,
) {
    private val votes = HashMap<InstanceId, CurrencyClaim>()
    private var confirmed: MonotonicTime? = null
    private var pending: CurrencyClaim? = null

    /** Whether this process may count in a quorum. */
    var voting: Boolean = false
        private set

    /** The greatest revision of which this process has heard. */
    var greatestKnown: Revision = Revision.NONE
        private set

    private val votesFrom: MonotonicTime get() = startedAt + timing.acceptanceWindow + timing.clockMargin

    /** Records that a read of the head, sent at [sentAt], returned [revision], while [applied] is applied. */
    fun headRead(revision: Revision, sentAt: MonotonicTime, applied: Revision) {
        heardOf(revision)
        if (revision <= applied) voting = true
        add(CurrencyClaim(revision, sentAt), applied)
    }

    /** Records a [statement] that answers a request sent at [sentAt], while [applied] is applied. */
    fun peerReplied(statement: PeerStatement, sentAt: MonotonicTime, applied: Revision) {
        heardOf(statement.revision)
        if (statement.voting) votes[statement.peer] = CurrencyClaim(statement.revision, sentAt)
        statement.evidenceAge?.let { add(CurrencyClaim(statement.revision, sentAt - it), applied) }
    }

    /** Records that [revision] exists. */
    fun heardOf(revision: Revision) {
        greatestKnown = maxOf(greatestKnown, revision)
    }

    /** Records that [applied] was applied. */
    fun applied(applied: Revision) {
        heardOf(applied)
        val claim = pending ?: return
        if (claim.revision > applied) return
        pending = null
        confirm(claim.asOf)
    }

    /** Counts the votes of the instances [listed] by the platform, this one included. */
    fun countVotes(listed: Set<InstanceId>, applied: Revision, now: MonotonicTime) {
        votes.keys.retainAll(listed)
        val needed = quorum(listed.size) - if (voting) 1 else 0
        if (needed == 0) return confirm(now)
        val times = votes.filter { (peer, vote) -> peer != self && vote.revision <= applied }.values.map { it.asOf }
        val oldest = times.filter { voting || it >= votesFrom }.sortedDescending().getOrNull(needed - 1) ?: return
        confirm(oldest)
    }

    /** Returns the age of the evidence at [now], or null without any. */
    fun age(now: MonotonicTime): Duration? = confirmed?.let { now - it }

    /** Whether this process may admit requests at [now]. */
    fun admits(now: MonotonicTime): Boolean = age(now)?.let { it <= timing.currencyBound } ?: false

    private fun add(claim: CurrencyClaim, applied: Revision) {
        if (claim.revision <= applied) return confirm(claim.asOf)
        val known = pending
        if (known == null || claim.asOf > known.asOf) pending = claim
    }

    private fun confirm(asOf: MonotonicTime) {
        if (asOf >= votesFrom) voting = true
        confirmed = maxOf(confirmed ?: asOf, asOf)
    }
}
