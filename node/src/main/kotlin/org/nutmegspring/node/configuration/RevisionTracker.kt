package org.nutmegspring.node.configuration

import arrow.core.Either
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.FreshnessTiming
import org.nutmegspring.configuration.quorumSize
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.util.TreeMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * The propagation status of a revision.
 *
 * @property accepted whether it can no longer be lost and no instance can remain unaware of it
 * @property inForce whether every instance applies it or has stopped admitting requests
 * @property lagging the listed instances that are not known to apply it
 */
data class RevisionStatus(
    val revision: Revision,
    val accepted: Boolean,
    val inForce: Boolean,
    val lagging: Set<InstanceId>,
)

/** Propagates committed changes to all instances and tracks the propagation of revisions. */
internal class RevisionTracker(
    private val replica: SharedReplica,
    private val peers: ConfigurationPeers,
    private val membership: Membership,
    private val timing: FreshnessTiming,
    private val clock: MonotonicClock,
    private val computeQuorum: (listed: Int) -> Int = ::quorumSize,
) {
    private val acceptanceTimes = TreeMap<Revision, MonotonicTime>()

    /** Pushes [change] to all instances and returns its status. It is accepted once a quorum of instances holds it. */
    suspend fun propagate(change: ConfigurationChange): RevisionStatus {
        repeat(PROPAGATION_ROUNDS) { round ->
            if (round > 0) delay(ROUND_DELAY)
            val knownHolders = replica.findHolders(change.revision)
            val accepted = tryAccept(change.revision, otherInstances()) { peer ->
                if (peer in knownHolders) peers.queryState(peer) else peers.pushChange(peer, change)
            }
            if (accepted) return computeStatus(change.revision)
        }
        return computeStatus(change.revision)
    }

    /** Queries the instances that are not known to apply [revision] and returns its status. */
    suspend fun queryStatus(revision: Revision): RevisionStatus {
        val known = computeStatus(revision)
        val targets = if (known.accepted) otherInstances().filter { it in known.lagging } else otherInstances()
        if (targets.isEmpty() && known.inForce) return known
        tryAccept(revision, targets) { peers.queryState(it) }
        return computeStatus(revision)
    }

    private fun otherInstances(): List<InstanceId> = membership.otherInstances()

    /**
     * Runs [exchange] with all [targets] and, if a quorum holds [revision], records it as accepted and returns true.
     *
     * Only replies of this round count, so that all of them fall into one acceptance window.
     */
    private suspend fun tryAccept(
        revision: Revision,
        targets: List<InstanceId>,
        exchange: suspend (InstanceId) -> Either<Failure, Revision>,
    ): Boolean {
        val startedAt = clock.now()
        val replies = targets.chunked(MAXIMUM_PARALLEL_EXCHANGES).flatMap { batch ->
            coroutineScope { batch.map { peer -> async { peer to exchange(peer) } }.awaitAll() }
        }
        val holders = replies.filter { (_, reply) -> reply.isRight { it >= revision } }.map { it.first }
        val listed = membership.listedInstances()
        val listedHolders = (holders + membership.self.id).toSet() intersect listed
        val now = clock.now()
        val accepted = membership.isSelfListed &&
            replica.revision >= revision &&
            listedHolders.size >= computeQuorum(listed.size) &&
            now - startedAt <= timing.acceptanceWindow
        if (accepted) recordAcceptance(revision, now)
        return accepted
    }

    private fun recordAcceptance(revision: Revision, now: MonotonicTime): Unit = synchronized(acceptanceTimes) {
        acceptanceTimes.putIfAbsent(revision, now)
        while (acceptanceTimes.size > MAXIMUM_TRACKED_REVISIONS) acceptanceTimes.pollFirstEntry()
    }

    private fun computeStatus(revision: Revision): RevisionStatus {
        val acceptedAt = synchronized(acceptanceTimes) { acceptanceTimes.tailMap(revision, true).values.minOrNull() }
        val self = membership.self.id
        val holders = replica.findHolders(revision) + setOf(self).filter { replica.revision >= revision }
        val lagging = membership.listedInstances() + otherInstances() - holders
        val expired = acceptedAt != null && clock.now() - acceptedAt >= timing.maximumPropagationDelay
        val inForce = acceptedAt != null && (lagging.isEmpty() || expired)
        return RevisionStatus(revision, accepted = acceptedAt != null, inForce, lagging)
    }

    private companion object {
        const val PROPAGATION_ROUNDS = 3
        const val MAXIMUM_PARALLEL_EXCHANGES = 64
        const val MAXIMUM_TRACKED_REVISIONS = 1_024
        val ROUND_DELAY = 200.milliseconds
    }
}
