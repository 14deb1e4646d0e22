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

/** The reason why a proposal was not committed, or is not known to be. */
sealed interface CommitFailure {
    /** The proposal cannot be applied to the current configuration. */
    data class Rejected(val rejection: ProposalRejection) : CommitFailure

    /** The commit was not confirmed. The effect of [failure] states whether the change may have been made. */
    data class Failed(val failure: Failure) : CommitFailure
}

/**
 * Appends changes to the chain in the store, one at a time.
 *
 * The objects of a change are written under unique names; a conditional write then moves the head. If the reply to that
 * write is lost, the write id recorded in the log of the chain shows whether the write took effect.
 *
 * Lock order: the mutex of this object is acquired before that of [ConfigurationCatchUp].
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

    /** Commits [proposal] and returns the change that was appended to the chain. */
    suspend fun commit(proposal: ChangeProposal): Either<CommitFailure, ConfigurationChange> = mutex.withLock {
        val attempt = Attempt(proposal, WriteId(incarnation, ++sequence))
        withTimeoutOrNull(COMMIT_TIMEOUT) { attempt.run() } ?: attempt.createTimeoutFailure()
    }

    private inner class Attempt(private val proposal: ChangeProposal, private val writer: WriteId) {
        private var pendingChange: ConfigurationChange? = null

        suspend fun run(): Either<CommitFailure, ConfigurationChange> {
            while (true) {
                attemptCommit()?.let { return it }
                delay(RETRY_DELAY)
            }
        }

        fun createTimeoutFailure(): Either<CommitFailure, ConfigurationChange> {
            val effect = if (pendingChange == null) Effect.NOT_RUN else Effect.UNKNOWN
            val message = "the store did not answer within $COMMIT_TIMEOUT"
            return CommitFailure.Failed(
                Failure(Step.WRITE_OBJECT, Peer.PLATFORM, effect, message, retryAfter = COMMIT_TIMEOUT),
            ).left()
        }

        private suspend fun attemptCommit(): Either<CommitFailure, ConfigurationChange>? {
            val stored = readHead().getOrElse { return null }
            val headRevision = stored?.head?.revision ?: Revision.NONE
            val state = findStateAt(headRevision) ?: return null
            val pending = pendingChange
            if (pending != null && state.revision >= pending.revision) return resolvePendingChange(pending, state)
            return planChange(state, proposal, writer).fold(
                { CommitFailure.Rejected(it).left() },
                { append(it, state, stored?.version) },
            )
        }

        private suspend fun readHead(): Either<StoreFailure, StoredHead?> {
            val sentAt = clock.now()
            return store.readHead().onRight { replica.recordHeadRead(it?.head?.revision ?: Revision.NONE, sentAt) }
        }

        private suspend fun findStateAt(revision: Revision): ChainState? {
            if (replica.revision < revision) catchUp.catchUpTo(revision)
            return replica.state.takeIf { it.revision == revision }
        }

        private fun resolvePendingChange(
            pending: ConfigurationChange,
            state: ChainState,
        ): Either<CommitFailure, ConfigurationChange>? {
            val entry = state.manifest.log.find { it.revision == pending.revision }
            pendingChange = null
            return when {
                entry == null -> createUnknownOutcome()
                entry.writer == writer -> pending.right()
                else -> null
            }
        }

        private fun createUnknownOutcome(): Either<CommitFailure, ConfigurationChange> = CommitFailure.Failed(
            Failure(
                Step.WRITE_OBJECT,
                Peer.PLATFORM,
                Effect.UNKNOWN,
                "the chain's log no longer covers the change; read the configuration to see whether it took effect",
            ),
        ).left()

        private suspend fun append(
            change: ConfigurationChange,
            state: ChainState,
            previous: ObjectVersion?,
        ): Either<CommitFailure, ConfigurationChange>? {
            val next = state.apply(change)
            if (!writeShardsAndManifest(change, next)) return null
            pendingChange = change
            return store.writeHead(ChainHead(change.revision, writer), previous).fold(
                { null },
                {
                    replica.offer(change)
                    change.right()
                },
            )
        }

        private suspend fun writeShardsAndManifest(change: ConfigurationChange, next: ChainState): Boolean {
            val reference = ShardReference(change.revision, writer)
            val shards = change.edits.map { shardOf(it.part) }.distinct()
            shards.chunked(MAXIMUM_PARALLEL_WRITES).forEach { batch ->
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
        const val MAXIMUM_PARALLEL_WRITES = 16
    }
}
