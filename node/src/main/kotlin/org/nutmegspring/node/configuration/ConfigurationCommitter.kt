package org.nutmegspring.node.configuration

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.configuration.ChainHead
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.ChangeProposal
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ProposalRejection
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.configuration.WriteId
import org.nutmegspring.configuration.planChange
import org.nutmegspring.configuration.shardOf
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.Revision
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why a proposal was not committed. */
sealed interface CommitFailure {
    /** The proposal does not apply to the configuration as it stands. */
    data class Rejected(val rejection: ProposalRejection) : CommitFailure

    /** The store did not answer as needed. [failure] says whether the change may have taken effect. */
    data class Failed(val failure: Failure) : CommitFailure
}

/**
 * Appends changes to the chain in the store, one at a time.
 *
 * The objects of a change are written under names that are used once, and the head is then moved by a conditional
 * write. When the reply to that write is lost, the write id in the log of the chain tells whether it took effect.
 *
 * Lock order: this object's mutex comes before that of the catch-up.
 */
internal class ConfigurationCommitter(
    private val incarnation: Incarnation,
    private val replica: SharedReplica,
    private val store: ChainStore,
    private val catchUp: ConfigurationCatchUp,
    private val clock: MonotonicClock,
) {
    private val mutex = Mutex()
    private var sequence = 0L

    /** Commits [proposal] and returns the change that the chain holds then. */
    suspend fun commit(proposal: ChangeProposal): Either<CommitFailure, ConfigurationChange> = mutex.withLock {
        val attempt = Attempt(proposal, WriteId(incarnation, ++sequence))
        withTimeoutOrNull(COMMIT_TIMEOUT) { attempt.run() } ?: attempt.timedOut()
    }

    private inner class Attempt(private val proposal: ChangeProposal, private val writer: WriteId) {
        private var headWrite: ConfigurationChange? = null

        suspend fun run(): Either<CommitFailure, ConfigurationChange> {
            while (true) {
                step()?.let { return it }
                delay(RETRY_DELAY)
            }
        }

        fun timedOut(): Either<CommitFailure, ConfigurationChange> {
            val effect = if (headWrite == null) Effect.NOT_RUN else Effect.UNKNOWN
            val message = "the store did not answer within $COMMIT_TIMEOUT"
            return CommitFailure.Failed(
                Failure(Step.WRITE_OBJECT, Peer.PLATFORM, effect, message, retryAfter = COMMIT_TIMEOUT),
            ).left()
        }

        private suspend fun step(): Either<CommitFailure, ConfigurationChange>? {
            val stored = readHead().getOrElse { return null }
            val headRevision = stored?.head?.revision ?: Revision.NONE
            val state = stateAt(headRevision) ?: return null
            val attempted = headWrite
            if (attempted != null && state.revision >= attempted.revision) return settled(attempted, state)
            return planChange(state, proposal, writer).fold(
                { CommitFailure.Rejected(it).left() },
                { append(it, state, stored?.version) },
            )
        }

        private suspend fun readHead(): Either<StoreFailure, StoredHead?> {
            val sentAt = clock.now()
            return store.readHead().onRight { replica.headRead(it?.head?.revision ?: Revision.NONE, sentAt) }
        }

        private suspend fun stateAt(revision: Revision): ChainState? {
            if (replica.revision < revision) catchUp.reach(revision)
            return replica.state.takeIf { it.revision == revision }
        }

        private fun settled(
            attempted: ConfigurationChange,
            state: ChainState,
        ): Either<CommitFailure, ConfigurationChange>? {
            val entry = state.manifest.log.find { it.revision == attempted.revision }
            headWrite = null
            return when {
                entry == null -> lostTrack()
                entry.writer == writer -> attempted.right()
                else -> null
            }
        }

        private fun lostTrack(): Either<CommitFailure, ConfigurationChange> = CommitFailure.Failed(
            Failure(
                Step.WRITE_OBJECT,
                Peer.PLATFORM,
                Effect.UNKNOWN,
                "the chain moved on further than its log reaches; read the configuration to see whether it changed",
            ),
        ).left()

        private suspend fun append(
            change: ConfigurationChange,
            state: ChainState,
            previous: ObjectVersion?,
        ): Either<CommitFailure, ConfigurationChange>? {
            val next = state.apply(change)
            if (!writeContents(change, next)) return null
            headWrite = change
            return store.writeHead(ChainHead(change.revision, writer), previous).fold(
                { null },
                {
                    replica.offer(change)
                    change.right()
                },
            )
        }

        private suspend fun writeContents(change: ConfigurationChange, next: ChainState): Boolean {
            val reference = ShardReference(change.revision, writer)
            val shards = change.edits.map { shardOf(it.part) }.distinct()
            shards.chunked(PARALLEL_WRITES).forEach { batch ->
                val results = coroutineScope {
                    batch.map { async { store.writeShard(it, reference, next.shardContent(it)) } }.awaitAll()
                }
                if (results.any { it.isLeft() }) return false
            }
            return store.writeManifest(next.manifest, writer).isRight()
        }
    }

    private companion object {
        val COMMIT_TIMEOUT = 10.seconds
        val RETRY_DELAY = 50.milliseconds
        const val PARALLEL_WRITES = 16
    }
}
