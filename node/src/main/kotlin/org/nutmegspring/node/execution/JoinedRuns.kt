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

/** When a run may begin, and until when it is remembered after it ended. */
data class RunTimes(
    val acceptUntil: MonotonicTime?,
    val keepUntil: MonotonicTime,
)

/**
 * Gives all concurrent and later requests with one key the outcome of a single run.
 *
 * Runs belong to [scope], not to the request that began them: a caller that disconnects does not end the run.
 */
internal class JoinedRuns<K>(
    private val ledger: RunLedger<K>,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val patience: Duration,
) {
    /** Runs [execute] unless [key] is known, and returns the outcome of the one run. */
    suspend fun run(
        key: K,
        digest: String,
        times: RunTimes,
        execute: suspend (Run) -> RunOutcome,
    ): Either<Failure, ServiceOutcome> = when (val entry = ledger.begin(key, digest, clock.now(), times.acceptUntil)) {
        LedgerEntry.Mismatch -> {
            keyReused().left()
        }

        LedgerEntry.Full -> {
            notClaimed(Peer.SELF, "too many requests are remembered").left()
        }

        LedgerEntry.Expired -> {
            outcomeUnknown(Peer.SELF, "the ticket has expired").left()
        }

        is LedgerEntry.Repeated -> {
            await(entry.run, first = false)
        }

        is LedgerEntry.Started -> {
            scope.launch { ledger.end(key, entry.run, outcomeOf(entry.run, execute), times.keepUntil) }
            await(entry.run, first = true)
        }
    }

    private suspend fun outcomeOf(run: Run, execute: suspend (Run) -> RunOutcome): RunOutcome = try {
        execute(run)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (unexpected: Exception) {
        logger.error(unexpected) { "a run ended unexpectedly" }
        RunOutcome.Lost(outcomeUnknown(Peer.SELF, "internal error"))
    }

    private suspend fun await(run: Run, first: Boolean): Either<Failure, ServiceOutcome> =
        when (val outcome = withTimeoutOrNull(patience) { run.outcome.await() }) {
            null -> stillRunning(Peer.SELF).left()
            is RunOutcome.Ran -> ServiceOutcome(outcome.answer, executed = first).right()
            is RunOutcome.RanElsewhere -> ServiceOutcome(outcome.answer, executed = false).right()
            is RunOutcome.Lost -> outcome.failure.left()
            is RunOutcome.NotRun -> outcome.failure.left()
            is RunOutcome.UnknownElsewhere -> outcome.failure.left()
        }
}
