package org.nutmegspring.node.configuration

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ConfigurationReplica
import org.nutmegspring.configuration.FreshnessEvidence
import org.nutmegspring.configuration.OfferOutcome
import org.nutmegspring.configuration.PeerStatement
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * The replica of this process and the evidence that it is current, shared by the coroutines of the process.
 *
 * Lock order: the lock of this object is a leaf; nothing else is locked and nothing suspends while it is held.
 */
internal class SharedReplica(
    private val replica: ConfigurationReplica,
    private val evidence: FreshnessEvidence,
    private val clock: MonotonicClock,
    private val monitor: InvariantMonitor,
) {
    private val lock = Any()
    private val published = MutableStateFlow(Configuration.EMPTY)
    private val statements = HashMap<InstanceId, PeerStatement>()
    private var lastHeadRead: MonotonicTime? = null

    /** The applied configuration. */
    val configuration: StateFlow<Configuration> = published.asStateFlow()

    /** The applied state. */
    val state: ChainState get() = synchronized(lock) { replica.state }

    /** The applied revision. */
    val revision: Revision get() = state.revision

    /** The greatest revision that is known to exist. */
    val greatestKnown: Revision get() = synchronized(lock) { evidence.greatestKnown }

    /** Offers [change] to the replica. */
    fun offer(change: ConfigurationChange): OfferOutcome = apply(change.revision) { replica.offer(change) }

    /** Offers the whole [state] to the replica. */
    fun offer(state: ChainState): OfferOutcome = apply(state.revision) { replica.offer(state) }

    /** Returns the changes after [revision], or null when they are not at hand. */
    fun changesAfter(revision: Revision): List<ConfigurationChange>? =
        synchronized(lock) { replica.changesAfter(revision) }

    /** Records that a read of the head, sent at [sentAt], returned [revision]. */
    fun headRead(revision: Revision, sentAt: MonotonicTime): Unit = synchronized(lock) {
        lastHeadRead = sentAt
        evidence.recordHeadRead(revision, sentAt, replica.state.revision)
    }

    /** Records a [statement] that answers a request sent at [sentAt]. */
    fun peerReplied(statement: PeerStatement, sentAt: MonotonicTime): Unit = synchronized(lock) {
        statements[statement.peer] = statement
        evidence.recordPeerStatement(statement, sentAt, replica.state.revision)
    }

    /** Records that [peer] applies [revision]. */
    fun peerHolds(peer: InstanceId, revision: Revision): Unit = synchronized(lock) {
        val known = statements[peer]
        if (known == null || known.revision < revision) {
            statements[peer] = PeerStatement(peer, revision, evidenceAge = null, canVote = false)
        }
    }

    /** Records that [revision] exists. */
    fun heardOf(revision: Revision): Unit = synchronized(lock) { evidence.recordRevision(revision) }

    /** Counts the votes of the instances [listed] by the platform. */
    fun countVotes(listed: Set<InstanceId>): Unit = synchronized(lock) {
        statements.keys.retainAll(listed)
        evidence.countVotes(listed, replica.state.revision, clock.now())
    }

    /** Returns those instances that said to apply [revision] or a greater one. */
    fun holders(revision: Revision): Set<InstanceId> = synchronized(lock) {
        statements.values.filter { it.revision >= revision }.map { it.peer }.toSet()
    }

    /** Returns what this process states about itself. */
    fun statement(self: InstanceId): PeerStatement = synchronized(lock) {
        PeerStatement(self, replica.state.revision, evidence.age(clock.now()), evidence.canVote)
    }

    /** Returns the age of the evidence, or null without any. */
    fun evidenceAge(): Duration? = synchronized(lock) { evidence.age(clock.now()) }

    /** Returns the age of the last read of the head, or null before the first. */
    fun headReadAge(): Duration? = synchronized(lock) { lastHeadRead?.let { clock.now() - it } }

    /** Whether this process may admit requests. */
    fun admits(): Boolean = synchronized(lock) { evidence.canAdmit(clock.now()) }

    private fun apply(offered: Revision, offer: () -> OfferOutcome): OfferOutcome = synchronized(lock) {
        val before = replica.state.revision
        val outcome = offer()
        evidence.recordRevision(offered)
        if (outcome == OfferOutcome.Applied) {
            val after = replica.state.revision
            monitor.check(Invariant.MONOTONIC_REVISION, after > before) { "applied $after after $before" }
            evidence.recordApplied(after)
            published.value = replica.state.configuration
        }
        outcome
    }
}
