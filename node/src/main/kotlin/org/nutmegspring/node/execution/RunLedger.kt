package org.nutmegspring.node.execution

import kotlinx.coroutines.CompletableDeferred
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.time.MonotonicTime

/** The outcome of a run in this process. */
sealed interface RunOutcome {
    /** This process ran the request and received its [answer]. */
    data class Completed(val answer: ServiceAnswer) : RunOutcome

    /** This process sent the request, but it is unknown whether the request ran. */
    data class Unknown(val failure: Failure) : RunOutcome

    /** This run did not run the request and never will. */
    data class NotRun(val failure: Failure) : RunOutcome

    /** Another process ran the request and returned its [answer]. */
    data class CompletedElsewhere(val answer: ServiceAnswer) : RunOutcome

    /** This run did not run the request, but it is unknown whether another process did. */
    data class UnknownElsewhere(val failure: Failure) : RunOutcome

    /** Whether this process sent the request. */
    val isSentHere: Boolean get() = this is Completed || this is Unknown
}

/** One attempt of this process to run a request. [sequence] is unique within the process. */
class Run(
    val sequence: Long,
    val digest: String,
) {
    /** Completes when the run has ended. */
    val outcome: CompletableDeferred<RunOutcome> = CompletableDeferred()
}

/** The result of registering a request in the ledger. */
sealed interface BeginResult {
    /** The key is new; the calling coroutine must execute [run]. */
    data class Started(val run: Run) : BeginResult

    /** The request repeats that of [run]. */
    data class Repeated(val run: Run) : BeginResult

    /** The key was used for a different request. */
    data object Mismatch : BeginResult

    /** The key is not in the ledger, and it has expired, so the request must not run. */
    data object Expired : BeginResult

    /** The ledger has no capacity for another run. */
    data object Full : BeginResult
}

/** The result of looking up an attempt in the ledger. */
sealed interface FindResult {
    /** The attempt is [run], which is in progress or retained. */
    data class Known(val run: Run) : FindResult

    /** The attempt ended without sending the request and never will send it. */
    data object Abandoned : FindResult

    /** The ledger has no entry for the attempt. */
    data object NotKnown : FindResult
}

/**
 * Holds the runs of this process by key, so that repeated requests join the existing run.
 *
 * A run whose request was sent is retained until it expires. A run whose request was not sent is removed when it ends,
 * so that a repeated request may run. All methods are synchronized on the ledger. The only foreign call under its lock
 * is the completion of a run's outcome.
 *
 * @param canEvict whether the oldest ended run is evicted when the ledger is full; otherwise new runs are refused
 */
class RunLedger<K>(
    private val capacity: Int,
    private val canEvict: Boolean,
) {
    private class TrackedRun(val run: Run, var expiresAt: MonotonicTime?)

    private val runs = LinkedHashMap<K, TrackedRun>()
    private val abandonedSequences = object : LinkedHashMap<Long, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > capacity
    }
    private var lastSequence = 0L
    private var prunedAt: MonotonicTime? = null

    /** Returns the number of runs that have not ended. */
    @Synchronized
    fun countRunning(): Int = runs.values.count { it.expiresAt == null }

    /**
     * Finds the run of [key] or starts one.
     *
     * A new run is refused as expired if [now], or the last time at which expired runs were removed, is after
     * [acceptUntil]. The latter keeps a caller that was paused after it read [now] from starting a second run.
     */
    @Synchronized
    fun begin(key: K, digest: String, now: MonotonicTime, acceptUntil: MonotonicTime? = null): BeginResult {
        val known = runs[key]
        if (known != null) {
            return if (known.run.digest == digest) BeginResult.Repeated(known.run) else BeginResult.Mismatch
        }
        if (!ensureCapacity(now)) return BeginResult.Full
        if (acceptUntil != null && acceptUntil < maxOf(now, prunedAt ?: now)) return BeginResult.Expired
        val run = Run(++lastSequence, digest)
        runs[key] = TrackedRun(run, null)
        return BeginResult.Started(run)
    }

    /** Ends [run] of [key] with [outcome]. If the request was sent, the run is retained until [expiresAt]. */
    @Synchronized
    fun end(key: K, run: Run, outcome: RunOutcome, expiresAt: MonotonicTime) {
        if (outcome.isSentHere) {
            runs.getValue(key).expiresAt = expiresAt
        } else {
            runs.remove(key)
            abandonedSequences[run.sequence] = Unit
        }
        run.outcome.complete(outcome)
    }

    /** Looks up attempt [sequence] to run the request of [key]. */
    @Synchronized
    fun find(key: K, sequence: Long): FindResult {
        val tracked = runs[key]
        return when {
            tracked?.run?.sequence == sequence -> FindResult.Known(tracked.run)
            sequence in abandonedSequences -> FindResult.Abandoned
            else -> FindResult.NotKnown
        }
    }

    private fun ensureCapacity(now: MonotonicTime): Boolean {
        if (runs.size < capacity) return true
        prunedAt = maxOf(now, prunedAt ?: now)
        runs.values.removeIf { tracked -> tracked.expiresAt?.let { it < now } ?: false }
        if (runs.size < capacity || !canEvict) return runs.size < capacity
        val oldest = runs.entries.firstOrNull { it.value.expiresAt != null } ?: return false
        runs.remove(oldest.key)
        return true
    }
}
