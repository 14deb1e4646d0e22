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

/** What a peer has that this process lacks. */
internal sealed interface PeerChanges {
    /** The missing changes, oldest first. */
    data class Changes(val changes: List<ConfigurationChange>) : PeerChanges

    /** The manifest of the peer's revision. */
    data class Manifest(val manifest: ChainManifest) : PeerChanges
}

/** Asks other instances about their configuration. */
internal class ConfigurationPeers(
    private val network: InnerNetwork,
    private val replica: SharedReplica,
    private val clock: MonotonicClock,
) {
    /** Asks [peer] for its state, records the answer and returns the revision that the peer applies. */
    suspend fun ask(peer: InstanceId): Either<Failure, Revision> {
        val sentAt = clock.now()
        val request = ConfigurationStateRequest(replica.revision)
        return exchange<ConfigurationStateReply>(peer, request, STATE_TIMEOUT).map { reply ->
            val age = reply.evidenceAgeMilliseconds?.milliseconds
            replica.peerReplied(PeerStatement(peer, reply.revision, age, reply.canVote), sentAt)
            reply.revision
        }
    }

    /** Hands [change] to [peer] and returns the revision that the peer applies then. */
    suspend fun push(peer: InstanceId, change: ConfigurationChange): Either<Failure, Revision> =
        exchange<PushChangeReply>(peer, PushChangeRequest(change), STATE_TIMEOUT).map { reply ->
            replica.peerHolds(peer, reply.revision)
            reply.revision
        }

    /** Asks [peer] for what changed after [revision]. */
    suspend fun changesAfter(peer: InstanceId, revision: Revision): Either<Failure, PeerChanges> =
        network.exchange(peer, ChangesRequest(revision), CONTENT_TIMEOUT).fold(
            { it.left() },
            { reply ->
                when (reply) {
                    is ChangesReply -> PeerChanges.Changes(reply.changes).right()
                    is ManifestReply -> PeerChanges.Manifest(reply.manifest).right()
                    else -> unexpected(peer).left()
                }
            },
        )

    /** Asks [peer] for the contents of [shards]. */
    suspend fun shards(
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
        { if (it is R) it.right() else unexpected(peer).left() },
    )

    private fun unexpected(peer: InstanceId) =
        Failure(Step.EXCHANGE, Peer("instance $peer"), Effect.UNKNOWN, "the reply is of an unexpected kind")

    private companion object {
        val STATE_TIMEOUT = 800.milliseconds
        val CONTENT_TIMEOUT = 3.seconds
    }
}

/** Answers other instances. [onGap] is called when they know a greater revision. */
internal class ConfigurationHandler(
    private val self: InstanceId,
    private val replica: SharedReplica,
    private val onGap: () -> Unit,
) : InnerHandler {
    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is ConfigurationStateRequest -> state(request)
        is PushChangeRequest -> push(request)
        is ChangesRequest -> changes(request)
        is ShardsRequest -> shards(request)
        else -> null
    }

    private fun state(request: ConfigurationStateRequest): InnerReply {
        learn(request.revision)
        val statement = replica.statement(self)
        val age = statement.evidenceAge?.let { it.inWholeMilliseconds + 1 }
        return ConfigurationStateReply(statement.revision, age, statement.canVote)
    }

    private fun push(request: PushChangeRequest): InnerReply {
        replica.offer(request.change)
        learn(request.change.revision)
        return PushChangeReply(replica.revision)
    }

    private fun changes(request: ChangesRequest): InnerReply =
        replica.changesAfter(request.revision)?.let { ChangesReply(it) } ?: ManifestReply(replica.state.manifest)

    private fun shards(request: ShardsRequest): InnerReply {
        val state = replica.state
        val held = request.shards.filter { (shard, reference) -> state.manifest.shards[shard] == reference }.keys
        val byShard = state.records.entries.filter {
            shardOf(it.key) in held
        }.groupBy({ shardOf(it.key) }, { it.value })
        return ShardsReply(held.associateWith { ShardContent(byShard[it].orEmpty()) })
    }

    private fun learn(revision: Revision) {
        if (revision <= replica.revision) return
        replica.heardOf(revision)
        onGap()
    }
}
