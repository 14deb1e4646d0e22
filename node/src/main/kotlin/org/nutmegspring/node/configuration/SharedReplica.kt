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
 * Thread-safe access to the replica of this process and to the evidence that it is current.
 *
 * Lock order: the lock of this object is always acquired last; no other lock is acquired and no function suspends while
 * it is held.
 */
internal class SharedReplica(
    private val replica: ConfigurationReplica,
    private val evidence: FreshnessEvidence,
    private val clock: MonotonicClock,
    private val monitor: InvariantMonitor,
) {
    private val lock = Any()
    private val publishedConfiguration = MutableStateFlow(Configuration.EMPTY)
    private val statements = HashMap<InstanceId, PeerStatement>()
    private var lastHeadReadAt: MonotonicTime? = null

    /** The applied configuration. */
    val configuration: StateFlow<Configuration> = publishedConfiguration.asStateFlow()

    /** The applied chain state. */
    val state: ChainState get() = synchronized(lock) { replica.state }

    /** The applied revision. */
    val revision: Revision get() = state.revision

    /** The greatest revision that is known to exist. */
    val greatestKnown: Revision get() = synchronized(lock) { evidence.greatestKnown }

    /** Offers [change] to the replica and publishes the configuration if the replica applies it. */
    fun offer(change: ConfigurationChange): OfferOutcome = applyOffer(change.revision) { replica.offer(change) }

    /** Offers the complete [state] to the replica and publishes the configuration if the replica applies it. */
    fun offer(state: ChainState): OfferOutcome = applyOffer(state.revision) { replica.offer(state) }

    /** Returns the changes after [revision], or null if the replica no longer has them all. */
    fun changesAfter(revision: Revision): List<ConfigurationChange>? =
        synchronized(lock) { replica.changesAfter(revision) }

    /** Records that a read of the head, sent at [sentAt], returned [revision]. */
    fun recordHeadRead(revision: Revision, sentAt: MonotonicTime): Unit = synchronized(lock) {
        lastHeadReadAt = sentAt
        evidence.recordHeadRead(revision, sentAt, replica.state.revision)
    }

    /** Records the [statement] that a peer sent in reply to a request sent at [sentAt]. */
    fun recordPeerStatement(statement: PeerStatement, sentAt: MonotonicTime): Unit = synchronized(lock) {
        statements[statement.peer] = statement
        evidence.recordPeerStatement(statement, sentAt, replica.state.revision)
    }

    /** Records that [peer] applies [revision]. */
    fun recordPeerRevision(peer: InstanceId, revision: Revision): Unit = synchronized(lock) {
        val known = statements[peer]
        if (known == null || known.revision < revision) {
            statements[peer] = PeerStatement(peer, revision, evidenceAge = null, canVote = false)
        }
    }

    /** Records that [revision] exists. */
    fun recordRevision(revision: Revision): Unit = synchronized(lock) { evidence.recordRevision(revision) }

    /** Counts the votes of the instances [listed] by the platform. */
    fun countVotes(listed: Set<InstanceId>): Unit = synchronized(lock) {
        statements.keys.retainAll(listed)
        evidence.countVotes(listed, replica.state.revision, clock.now())
    }

    /** Returns the instances that reported that they apply [revision] or a greater one. */
    fun findHolders(revision: Revision): Set<InstanceId> = synchronized(lock) {
        statements.values.filter { it.revision >= revision }.map { it.peer }.toSet()
    }

    /** Creates the statement that this process sends about itself. */
    fun createStatement(self: InstanceId): PeerStatement = synchronized(lock) {
        PeerStatement(self, replica.state.revision, evidence.age(clock.now()), evidence.canVote)
    }

    /** Returns the age of the evidence, or null if there is none. */
    fun computeEvidenceAge(): Duration? = synchronized(lock) { evidence.age(clock.now()) }

    /** Returns the time since the last recorded read of the head was sent, or null before the first read. */
    fun computeHeadReadAge(): Duration? = synchronized(lock) { lastHeadReadAt?.let { clock.now() - it } }

    /** Whether this process may admit requests. */
    fun canAdmit(): Boolean = synchronized(lock) { evidence.canAdmit(clock.now()) }

    private fun applyOffer(offered: Revision, offer: () -> OfferOutcome): OfferOutcome = synchronized(lock) {
        val before = replica.state.revision
        val outcome = offer()
        evidence.recordRevision(offered)
        if (outcome == OfferOutcome.Applied) {
            val after = replica.state.revision
            monitor.check(Invariant.MONOTONIC_REVISION, after > before) { "applied $after after $before" }
            evidence.recordApplied(after)
            publishedConfiguration.value = replica.state.configuration
        }
        outcome
    }
}
