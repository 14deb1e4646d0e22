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
 * The bounds of claimed runs.
 *
 * @property sendWithin a claimed request is not sent when this much time has passed since its claim was begun
 * @property keptAnswerBytes the longest answer that is kept in the store
 */
data class ClaimBounds(
    val sendWithin: Duration = 30.seconds,
    val keptAnswerBytes: Int = KEPT_ANSWER_BYTES,
)

private const val KEPT_ANSWER_BYTES = 64 * 1024

/**
 * Runs calls that carry an idempotency key of the caller's own making.
 *
 * A record in the store, created before anything is sent, decides which attempt may run the call. No attempt ever takes
 * a claim from another that may have sent it: a claim passes on only when its claimant says that it sent nothing and
 * never will.
 */
internal class ClaimedExecution(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val claims: ClaimStore,
    private val claimants: Claimants,
    private val attempts: ServiceAttempts,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val bounds: ClaimBounds = ClaimBounds(),
) {
    private val storing = AtomicInteger()

    /** How many outcomes are being stored. */
    val pendingWrites: Int get() = storing.get()

    /** Claims [call] for [run], runs it when the claim is its own, and otherwise finds out how it stands. */
    suspend fun run(call: KeyedCall, run: Run): RunOutcome {
        val claimant = Claimant(instance, incarnation, run.sequence)
        val record = ClaimRecord(claimant, call.digest)
        var condition: WriteCondition = WriteCondition.Absent
        repeat(MAXIMUM_TAKEOVERS) {
            val begunAt = clock.now()
            when (val state = claims.claim(call.id.objectKey, record, condition)) {
                is ClaimState.Owned -> {
                    val permission = SendPermission { clock.now() - begunAt <= bounds.sendWithin }
                    return execute(call, record, state.version, permission)
                }

                is ClaimState.Foreign -> {
                    resolve(call, state)?.let { return it }
                    condition = WriteCondition.AtVersion(state.version)
                }

                else -> {
                    return withoutClaim(state)
                }
            }
        }
        return RunOutcome.UnknownElsewhere(stillRunning(Peer.PLATFORM))
    }

    private fun withoutClaim(state: ClaimState): RunOutcome = when (state) {
        is ClaimState.Unreadable -> {
            RunOutcome.UnknownElsewhere(outcomeUnknown(Peer.PLATFORM, "the claim of this key cannot be read"))
        }

        else -> {
            RunOutcome.NotRun(notClaimed(Peer.PLATFORM, "the store did not confirm the claim, a ticket needs no store"))
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
                    store { claims.release(key, version) }
                    RunOutcome.NotRun(failure)
                } else {
                    store { claims.finish(key, record, version, ClaimOutcome.Unknown) }
                    RunOutcome.Lost(failure)
                }
            },
            { answer ->
                store { claims.finish(key, record, version, kept(answer)) }
                RunOutcome.Ran(answer)
            },
        )
    }

    private fun store(write: suspend () -> Unit) {
        storing.incrementAndGet()
        scope.launch { write() }.invokeOnCompletion { storing.decrementAndGet() }
    }

    private fun kept(answer: ServiceAnswer): ClaimOutcome {
        val tooLong = answer.body.size > bounds.keptAnswerBytes
        return if (tooLong) ClaimOutcome.NotKept else ClaimOutcome.Answered(recordedAnswer(answer))
    }

    /** Returns how the call stands at its claimant, or null when the claim can be taken over. */
    private suspend fun resolve(call: KeyedCall, claim: ClaimState.Foreign): RunOutcome? {
        if (claim.record.digest != call.digest) return RunOutcome.NotRun(keyReused())
        claim.record.outcome?.let { return outcomeOf(it) }
        val reply = claimants.ask(call.id, claim.record.claimant)
        return when (reply?.status) {
            ClaimStatus.ABANDONED -> null
            ClaimStatus.ANSWERED -> reply.answer?.let { RunOutcome.RanElsewhere(serviceAnswer(it)) }
            ClaimStatus.UNKNOWN -> outcomeOf(ClaimOutcome.Unknown)
            ClaimStatus.RUNNING -> RunOutcome.UnknownElsewhere(stillRunning(peerOf(claim.record.claimant)))
            ClaimStatus.NOT_KNOWN -> lastRecord(call, claim, reads = 1, retryAfter = null)
            null -> lastRecord(call, claim, READS_OF_UNREACHABLE, RETRY_UNREACHABLE)
        }
    }

    /** The claimant cannot tell; it may have stored the outcome since the record was read, or do so soon. */
    private suspend fun lastRecord(
        call: KeyedCall,
        claim: ClaimState.Foreign,
        reads: Int,
        retryAfter: Duration?,
    ): RunOutcome {
        repeat(reads) { read ->
            if (read > 0) delay(READ_INTERVAL)
            val current = claims.read(call.id.objectKey)?.let { decodeClaim(it.value) }
            val outcome = current?.takeIf { it.claimant == claim.record.claimant }?.outcome
            if (outcome != null) return outcomeOf(outcome)
        }
        val reason = "the instance that claimed this key cannot tell its outcome"
        return RunOutcome.UnknownElsewhere(outcomeUnknown(peerOf(claim.record.claimant), reason, retryAfter))
    }

    private fun outcomeOf(outcome: ClaimOutcome): RunOutcome = when (outcome) {
        is ClaimOutcome.Answered -> RunOutcome.RanElsewhere(serviceAnswer(outcome.answer))

        ClaimOutcome.NotKept -> RunOutcome.UnknownElsewhere(
            outcomeUnknown(Peer.PLATFORM, "the request ran, but its answer was too long to be kept"),
        )

        ClaimOutcome.Unknown -> RunOutcome.UnknownElsewhere(
            outcomeUnknown(Peer.PLATFORM, "the request was sent, and whether it ran is not known"),
        )
    }

    private fun peerOf(claimant: Claimant) = Peer("instance ${claimant.instance}")

    private companion object {
        const val MAXIMUM_TAKEOVERS = 4
        const val READS_OF_UNREACHABLE = 4
        val READ_INTERVAL = 300.milliseconds
        val RETRY_UNREACHABLE = 2.seconds
    }
}
