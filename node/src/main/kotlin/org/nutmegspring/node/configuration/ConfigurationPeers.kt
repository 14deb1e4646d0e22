package org.nutmegspring.node.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.PeerStatement
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.configuration.shardOf
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.protocol.ChangesReply
import org.nutmegspring.protocol.ChangesRequest
import org.nutmegspring.protocol.ConfigurationStateReply
import org.nutmegspring.protocol.ConfigurationStateRequest
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.ManifestReply
import org.nutmegspring.protocol.PushChangeReply
import org.nutmegspring.protocol.PushChangeRequest
import org.nutmegspring.protocol.ShardsReply
import org.nutmegspring.protocol.ShardsRequest
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The reply of a peer to a request for the changes after a revision. */
internal sealed interface PeerChanges {
    /** The requested changes, oldest first. */
    data class Changes(val changes: List<ConfigurationChange>) : PeerChanges

    /** The manifest of the revision that the peer applies, sent when the peer no longer has the single changes. */
    data class Manifest(val manifest: ChainManifest) : PeerChanges
}

/** Queries the configuration of other instances and pushes changes to them. */
internal class ConfigurationPeers(
    private val network: InnerNetwork,
    private val replica: SharedReplica,
    private val clock: MonotonicClock,
) {
    /** Queries the state of [peer], records the reply and returns the revision that the peer applies. */
    suspend fun queryState(peer: InstanceId): Either<Failure, Revision> {
        val sentAt = clock.now()
        val request = ConfigurationStateRequest(replica.revision)
        return exchange<ConfigurationStateReply>(peer, request, STATE_TIMEOUT).map { reply ->
            val age = reply.evidenceAgeMilliseconds?.milliseconds
            replica.recordPeerStatement(PeerStatement(peer, reply.revision, age, reply.canVote), sentAt)
            reply.revision
        }
    }

    /** Pushes [change] to [peer] and returns the revision that the peer applies afterwards. */
    suspend fun pushChange(peer: InstanceId, change: ConfigurationChange): Either<Failure, Revision> =
        exchange<PushChangeReply>(peer, PushChangeRequest(change), STATE_TIMEOUT).map { reply ->
            replica.recordPeerRevision(peer, reply.revision)
            reply.revision
        }

    /** Fetches the changes after [revision] from [peer]. */
    suspend fun fetchChanges(peer: InstanceId, revision: Revision): Either<Failure, PeerChanges> =
        network.exchange(peer, ChangesRequest(revision), CONTENT_TIMEOUT).fold(
            { it.left() },
            { reply ->
                when (reply) {
                    is ChangesReply -> PeerChanges.Changes(reply.changes).right()
                    is ManifestReply -> PeerChanges.Manifest(reply.manifest).right()
                    else -> createUnexpectedReplyFailure(peer).left()
                }
            },
        )

    /** Fetches the contents of [shards] from [peer]; the reply may contain only some of them. */
    suspend fun fetchShards(
        peer: InstanceId,
        shards: Map<Int, ShardReference>,
    ): Either<Failure, Map<Int, ShardContent>> =
        exchange<ShardsReply>(peer, ShardsRequest(shards), CONTENT_TIMEOUT).map { it.contents }

    private suspend inline fun <reified R : InnerReply> exchange(
        peer: InstanceId,
        request: InnerRequest,
        timeout: Duration,
    ): Either<Failure, R> = network.exchange(peer, request, timeout).fold(
        { it.left() },
        { if (it is R) it.right() else createUnexpectedReplyFailure(peer).left() },
    )

    private fun createUnexpectedReplyFailure(peer: InstanceId) =
        Failure(Step.EXCHANGE, Peer("instance $peer"), Effect.UNKNOWN, "the reply has an unexpected type")

    private companion object {
        val STATE_TIMEOUT = 800.milliseconds
        val CONTENT_TIMEOUT = 3.seconds
    }
}

/** Handles configuration requests of other instances. Calls [onGap] when a request names a newer revision. */
internal class ConfigurationHandler(
    private val self: InstanceId,
    private val replica: SharedReplica,
    private val onGap: () -> Unit,
) : InnerHandler {
    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is ConfigurationStateRequest -> handleStateRequest(request)
        is PushChangeRequest -> handlePushChange(request)
        is ChangesRequest -> handleChangesRequest(request)
        is ShardsRequest -> handleShardsRequest(request)
        else -> null
    }

    private fun handleStateRequest(request: ConfigurationStateRequest): InnerReply {
        recordRevision(request.revision)
        val statement = replica.createStatement(self)
        val age = statement.evidenceAge?.let { it.inWholeMilliseconds + 1 }
        return ConfigurationStateReply(statement.revision, age, statement.canVote)
    }

    private fun handlePushChange(request: PushChangeRequest): InnerReply {
        replica.offer(request.change)
        recordRevision(request.change.revision)
        return PushChangeReply(replica.revision)
    }

    private fun handleChangesRequest(request: ChangesRequest): InnerReply =
        replica.changesAfter(request.revision)?.let { ChangesReply(it) } ?: ManifestReply(replica.state.manifest)

    private fun handleShardsRequest(request: ShardsRequest): InnerReply {
        val state = replica.state
        val heldShards = request.shards.filter { (shard, reference) -> state.manifest.shards[shard] == reference }.keys
        val recordsByShard = state.records.entries.filter {
            shardOf(it.key) in heldShards
        }.groupBy({ shardOf(it.key) }, { it.value })
        return ShardsReply(heldShards.associateWith { ShardContent(recordsByShard[it].orEmpty()) })
    }

    private fun recordRevision(revision: Revision) {
        if (revision <= replica.revision) return
        replica.recordRevision(revision)
        onGap()
    }
}
