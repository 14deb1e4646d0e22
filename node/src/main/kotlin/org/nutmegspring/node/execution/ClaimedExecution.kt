package org.nutmegspring.node.execution

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.nutmegspring.execution.ClaimOutcome
import org.nutmegspring.execution.ClaimRecord
import org.nutmegspring.execution.ClaimState
import org.nutmegspring.execution.Claimant
import org.nutmegspring.execution.decodeClaim
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Peer
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.protocol.ClaimStatus
import org.nutmegspring.time.MonotonicClock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits for claimed runs.
 *
 * @property maximumSendDelay how long after the start of its claim a request may still be sent
 * @property maximumStoredAnswerBytes the largest answer body that is stored with the claim
 */
data class ClaimBounds(
    val maximumSendDelay: Duration = 30.seconds,
    val maximumStoredAnswerBytes: Int = MAXIMUM_STORED_ANSWER_BYTES,
)

private const val MAXIMUM_STORED_ANSWER_BYTES = 64 * 1024

/**
 * Runs calls with an idempotency key that the caller generated.
 *
 * A claim record in the store, written before anything is sent, decides which attempt may run the call. An attempt
 * never takes over a claim whose claimant may have sent the call: a claim can be taken over only after its claimant
 * confirmed that it sent nothing and never will.
 */
internal class ClaimedExecution(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val claims: ClaimStore,
    private val claimQueries: ClaimQueryExchange,
    private val attempts: ServiceAttempts,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val bounds: ClaimBounds = ClaimBounds(),
) {
    private val pendingWrites = AtomicInteger()

    /** The number of writes of outcomes and releases of claims that have not finished. */
    val pendingWriteCount: Int get() = pendingWrites.get()

    /** Claims [call] for [run]. Runs it if the claim succeeds; otherwise determines the outcome at its claimant. */
    suspend fun run(call: KeyedCall, run: Run): RunOutcome {
        val claimant = Claimant(instance, incarnation, run.sequence)
        val record = ClaimRecord(claimant, call.digest)
        var condition: WriteCondition = WriteCondition.Absent
        repeat(MAXIMUM_TAKEOVERS) {
            val startedAt = clock.now()
            when (val state = claims.claim(call.id.objectKey, record, condition)) {
                is ClaimState.Owned -> {
                    val permission = SendPermission { clock.now() - startedAt <= bounds.maximumSendDelay }
                    return execute(call, record, state.version, permission)
                }

                is ClaimState.Foreign -> {
                    resolveForeignClaim(call, state)?.let { return it }
                    condition = WriteCondition.AtVersion(state.version)
                }

                else -> {
                    return createUnclaimedOutcome(state)
                }
            }
        }
        return RunOutcome.UnknownElsewhere(stillRunningFailure(Peer.PLATFORM))
    }

    private fun createUnclaimedOutcome(state: ClaimState): RunOutcome = when (state) {
        is ClaimState.Unreadable -> {
            RunOutcome.UnknownElsewhere(
                outcomeUnknownFailure(Peer.PLATFORM, "the claim record of this key cannot be decoded"),
            )
        }

        else -> {
            RunOutcome.NotRun(
                notClaimedFailure(Peer.PLATFORM, "the store did not confirm the claim (a ticket needs no store)"),
            )
        }
    }

    private suspend fun execute(
        call: KeyedCall,
        record: ClaimRecord,
        version: ObjectVersion,
        permission: SendPermission,
    ): RunOutcome {
        val key = call.id.objectKey
        return attempts.run(call.work, call.request, permission).fold(
            { failure ->
                if (failure.effect == Effect.NOT_RUN) {
                    launchWrite { claims.release(key, version) }
                    RunOutcome.NotRun(failure)
                } else {
                    launchWrite { claims.finish(key, record, version, ClaimOutcome.Unknown) }
                    RunOutcome.Unknown(failure)
                }
            },
            { answer ->
                launchWrite { claims.finish(key, record, version, createClaimOutcome(answer)) }
                RunOutcome.Completed(answer)
            },
        )
    }

    private fun launchWrite(write: suspend () -> Unit) {
        pendingWrites.incrementAndGet()
        scope.launch { write() }.invokeOnCompletion { pendingWrites.decrementAndGet() }
    }

    private fun createClaimOutcome(answer: ServiceAnswer): ClaimOutcome {
        val isTooLong = answer.body.size > bounds.maximumStoredAnswerBytes
        return if (isTooLong) ClaimOutcome.NotKept else ClaimOutcome.Answered(createRecordedAnswer(answer))
    }

    /** Returns the outcome of the call at its claimant, or null if the claim can be taken over. */
    private suspend fun resolveForeignClaim(call: KeyedCall, claim: ClaimState.Foreign): RunOutcome? {
        if (claim.record.digest != call.digest) return RunOutcome.NotRun(keyReusedFailure())
        claim.record.outcome?.let { return createRunOutcome(it) }
        val reply = claimQueries.query(call.id, claim.record.claimant)
        return when (reply?.status) {
            ClaimStatus.ABANDONED -> null
            ClaimStatus.ANSWERED -> reply.answer?.let { RunOutcome.CompletedElsewhere(createServiceAnswer(it)) }
            ClaimStatus.UNKNOWN -> createRunOutcome(ClaimOutcome.Unknown)
            ClaimStatus.RUNNING -> RunOutcome.UnknownElsewhere(stillRunningFailure(peerOf(claim.record.claimant)))
            ClaimStatus.NOT_KNOWN -> findStoredOutcome(call, claim, reads = 1, retryAfter = null)
            null -> findStoredOutcome(call, claim, UNREACHABLE_CLAIMANT_READS, UNREACHABLE_CLAIMANT_RETRY_AFTER)
        }
    }

    /**
     * Returns the outcome in the claim record when the claimant does not report one. The claimant may have stored it
     * since the record was first read, or may store it soon, so the record is read up to [reads] times.
     */
    private suspend fun findStoredOutcome(
        call: KeyedCall,
        claim: ClaimState.Foreign,
        reads: Int,
        retryAfter: Duration?,
    ): RunOutcome {
        repeat(reads) { read ->
            if (read > 0) delay(READ_INTERVAL)
            val current = claims.read(call.id.objectKey)?.let { decodeClaim(it.value) }
            val outcome = current?.takeIf { it.claimant == claim.record.claimant }?.outcome
            if (outcome != null) return createRunOutcome(outcome)
        }
        val reason = "the instance that claimed this idempotency key does not report the outcome"
        return RunOutcome.UnknownElsewhere(outcomeUnknownFailure(peerOf(claim.record.claimant), reason, retryAfter))
    }

    private fun createRunOutcome(outcome: ClaimOutcome): RunOutcome = when (outcome) {
        is ClaimOutcome.Answered -> RunOutcome.CompletedElsewhere(createServiceAnswer(outcome.answer))

        ClaimOutcome.NotKept -> RunOutcome.UnknownElsewhere(
            outcomeUnknownFailure(Peer.PLATFORM, "the request ran, but its answer was too long to be stored"),
        )

        ClaimOutcome.Unknown -> RunOutcome.UnknownElsewhere(
            outcomeUnknownFailure(Peer.PLATFORM, "the request was sent, but it is unknown whether it ran"),
        )
    }

    private fun peerOf(claimant: Claimant) = Peer("instance ${claimant.instance}")

    private companion object {
        const val MAXIMUM_TAKEOVERS = 4
        const val UNREACHABLE_CLAIMANT_READS = 4
        val READ_INTERVAL = 300.milliseconds
        val UNREACHABLE_CLAIMANT_RETRY_AFTER = 2.seconds
    }
}
