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
 * How far a revision has come.
 *
 * @property accepted whether it can no longer be lost and no instance can remain unaware of it
 * @property inForce whether each instance applies it or has stopped admitting requests
 * @property lagging the listed instances that are not known to apply it
 */
data class RevisionStatus(
    val revision: Revision,
    val accepted: Boolean,
    val inForce: Boolean,
    val lagging: Set<InstanceId>,
)

/** Spreads committed changes and tells how far revisions have come. */
internal class RevisionTracker(
    private val replica: SharedReplica,
    private val peers: ConfigurationPeers,
    private val membership: Membership,
    private val timing: FreshnessTiming,
    private val clock: MonotonicClock,
    private val quorumOf: (listed: Int) -> Int = ::quorumSize,
) {
    private val acceptedSince = TreeMap<Revision, MonotonicTime>()

    /** Hands [change] to all instances and returns how far it came. It is accepted when a quorum holds it. */
    suspend fun spread(change: ConfigurationChange): RevisionStatus {
        repeat(SPREAD_ROUNDS) { round ->
            if (round > 0) delay(ROUND_DELAY)
            val holding = replica.holders(change.revision)
            val accepted = countHolders(change.revision, others()) { peer ->
                if (peer in holding) peers.ask(peer) else peers.push(peer, change)
            }
            if (accepted) return known(change.revision)
        }
        return known(change.revision)
    }

    /** Asks the instances that are not known to apply [revision] and returns how far it has come. */
    suspend fun status(revision: Revision): RevisionStatus {
        val known = known(revision)
        val asked = if (known.accepted) others().filter { it in known.lagging } else others()
        if (asked.isEmpty() && known.inForce) return known
        countHolders(revision, asked) { peers.ask(it) }
        return known(revision)
    }

    private fun others(): List<InstanceId> = membership.contacts()

    /** Counts only what is heard in this round, so that all answers fall into one acceptance window. */
    private suspend fun countHolders(
        revision: Revision,
        asked: List<InstanceId>,
        exchange: suspend (InstanceId) -> Either<Failure, Revision>,
    ): Boolean {
        val startedAt = clock.now()
        val answers = asked.chunked(PARALLEL_EXCHANGES).flatMap { batch ->
            coroutineScope { batch.map { peer -> async { peer to exchange(peer) } }.awaitAll() }
        }
        val holders = answers.filter { (_, answer) -> answer.isRight { it >= revision } }.map { it.first }
        val listed = membership.listed()
        val counted = (holders + membership.self.id).toSet() intersect listed
        val now = clock.now()
        val accepted = membership.selfListed &&
            replica.revision >= revision &&
            counted.size >= quorumOf(listed.size) &&
            now - startedAt <= timing.acceptanceWindow
        if (accepted) noteAcceptance(revision, now)
        return accepted
    }

    private fun noteAcceptance(revision: Revision, now: MonotonicTime): Unit = synchronized(acceptedSince) {
        acceptedSince.putIfAbsent(revision, now)
        while (acceptedSince.size > REMEMBERED) acceptedSince.pollFirstEntry()
    }

    private fun known(revision: Revision): RevisionStatus {
        val since = synchronized(acceptedSince) { acceptedSince.tailMap(revision, true).values.minOrNull() }
        val self = membership.self.id
        val holders = replica.holders(revision) + setOf(self).filter { replica.revision >= revision }
        val lagging = membership.listed() + others() - holders
        val expired = since != null && clock.now() - since >= timing.maximumPropagationDelay
        val inForce = since != null && (lagging.isEmpty() || expired)
        return RevisionStatus(revision, accepted = since != null, inForce, lagging)
    }

    private companion object {
        const val SPREAD_ROUNDS = 3
        const val PARALLEL_EXCHANGES = 64
        const val REMEMBERED = 1_024
        val ROUND_DELAY = 200.milliseconds
    }
}
