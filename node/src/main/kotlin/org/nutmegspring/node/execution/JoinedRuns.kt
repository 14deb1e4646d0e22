package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * The deadlines of a run.
 *
 * @property acceptUntil when the run must have begun, or null if it may begin at any time
 * @property retainUntil until when the outcome is retained after the run has ended
 */
data class RunDeadlines(
    val acceptUntil: MonotonicTime?,
    val retainUntil: MonotonicTime,
)

/**
 * Deduplicates requests: all concurrent and later requests with the same key get the outcome of a single run.
 *
 * Runs are launched in [scope], not in the coroutine of the request: a caller that disconnects does not cancel the run.
 */
internal class JoinedRuns<K>(
    private val ledger: RunLedger<K>,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val maximumWait: Duration,
) {
    /** Runs [execute] if [key] has no run yet, and returns the outcome of its single run. */
    suspend fun run(
        key: K,
        digest: String,
        deadlines: RunDeadlines,
        execute: suspend (Run) -> RunOutcome,
    ): Either<Failure, ServiceOutcome> =
        when (val result = ledger.begin(key, digest, clock.now(), deadlines.acceptUntil)) {
            BeginResult.Mismatch -> {
                keyReusedFailure().left()
            }

            BeginResult.Full -> {
                notClaimedFailure(Peer.SELF, "the ledger of runs is full").left()
            }

            BeginResult.Expired -> {
                outcomeUnknownFailure(Peer.SELF, "the ticket has expired").left()
            }

            is BeginResult.Repeated -> {
                awaitOutcome(result.run, isFirst = false)
            }

            is BeginResult.Started -> {
                scope.launch { ledger.end(key, result.run, executeRun(result.run, execute), deadlines.retainUntil) }
                awaitOutcome(result.run, isFirst = true)
            }
        }

    private suspend fun executeRun(run: Run, execute: suspend (Run) -> RunOutcome): RunOutcome = try {
        execute(run)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (unexpected: Exception) {
        logger.error(unexpected) { "a run failed with an unexpected exception" }
        RunOutcome.Unknown(outcomeUnknownFailure(Peer.SELF, "internal error"))
    }

    private suspend fun awaitOutcome(run: Run, isFirst: Boolean): Either<Failure, ServiceOutcome> =
        when (val outcome = withTimeoutOrNull(maximumWait) { run.outcome.await() }) {
            null -> stillRunningFailure(Peer.SELF).left()
            is RunOutcome.Completed -> ServiceOutcome(outcome.answer, executed = isFirst).right()
            is RunOutcome.CompletedElsewhere -> ServiceOutcome(outcome.answer, executed = false).right()
            is RunOutcome.Unknown -> outcome.failure.left()
            is RunOutcome.NotRun -> outcome.failure.left()
            is RunOutcome.UnknownElsewhere -> outcome.failure.left()
        }
}
