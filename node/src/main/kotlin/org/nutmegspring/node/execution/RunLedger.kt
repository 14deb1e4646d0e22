package org.nutmegspring.node.execution

import kotlinx.coroutines.CompletableDeferred
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.time.MonotonicTime

/** How a run ended at this process. */
sealed interface RunOutcome {
    /** This process ran the request and has its answer. */
    data class Ran(val answer: ServiceAnswer) : RunOutcome

    /** This process sent the request, and whether it ran is not known. */
    data class Lost(val failure: Failure) : RunOutcome

    /** This process has not run the request, and this run never will. */
    data class NotRun(val failure: Failure) : RunOutcome

    /** Another process ran the request and gave its [answer]. */
    data class RanElsewhere(val answer: ServiceAnswer) : RunOutcome

    /** This run has not run the request; of another process it is not known. */
    data class UnknownElsewhere(val failure: Failure) : RunOutcome

    /** Whether this process sent the request. */
    val isOwn: Boolean get() = this is Ran || this is Lost
}

/** One attempt of this process to run a request. [sequence] is used once in the life of the process. */
class Run(
    val sequence: Long,
    val digest: String,
) {
    /** How it ended. */
    val outcome: CompletableDeferred<RunOutcome> = CompletableDeferred()
}

/** What the ledger says to a new request. */
sealed interface LedgerEntry {
    /** It is new and must be run by whoever asked. */
    data class Started(val run: Run) : LedgerEntry

    /** It is a repeat of [run]. */
    data class Repeated(val run: Run) : LedgerEntry

    /** Its key was used for another request. */
    data object Mismatch : LedgerEntry

    /** It is new, but may no longer be run because its key has expired. */
    data object Expired : LedgerEntry

    /** There is no room to remember it. */
    data object Full : LedgerEntry
}

/** What the ledger knows of an attempt. */
sealed interface LedgerKnowledge {
    /** The attempt is [run]. */
    data class Known(val run: Run) : LedgerKnowledge

    /** The attempt sent nothing and never will. */
    data object Abandoned : LedgerKnowledge

    /** The attempt is not remembered. */
    data object NotKnown : LedgerKnowledge
}

/**
 * Remembers the runs of this process by their key, so that repeats join them.
 *
 * A run that this process sent is kept until its expiry. One that it did not send is removed when it ends, so that a
 * repeat may try again. All methods hold the table's own lock and call nothing under it.
 *
 * @param evicts whether the oldest ended run makes room; otherwise new ones are turned away
 */
class RunLedger<K>(
    private val capacity: Int,
    private val evicts: Boolean,
) {
    private class Kept(val run: Run, var expiresAt: MonotonicTime?)

    private val runs = LinkedHashMap<K, Kept>()
    private val abandoned = object : LinkedHashMap<Long, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > capacity
    }
    private var lastSequence = 0L
    private var prunedAt: MonotonicTime? = null

    /** How many runs have not ended. */
    @Synchronized
    fun running(): Int = runs.values.count { it.expiresAt == null }

    /**
     * Finds the run of [key] or starts one.
     *
     * A key that may not be run after [acceptUntil] is turned away when that time, or a time at which ended runs were
     * removed, has passed it. A caller that was paused after it read [now] thus starts no second run.
     */
    @Synchronized
    fun begin(key: K, digest: String, now: MonotonicTime, acceptUntil: MonotonicTime? = null): LedgerEntry {
        val known = runs[key]
        if (known != null) {
            return if (known.run.digest == digest) LedgerEntry.Repeated(known.run) else LedgerEntry.Mismatch
        }
        if (!makeRoom(now)) return LedgerEntry.Full
        if (acceptUntil != null && acceptUntil < maxOf(now, prunedAt ?: now)) return LedgerEntry.Expired
        val run = Run(++lastSequence, digest)
        runs[key] = Kept(run, null)
        return LedgerEntry.Started(run)
    }

    /** Ends [run] of [key]. A run that was sent is kept until [expiresAt]. */
    @Synchronized
    fun end(key: K, run: Run, outcome: RunOutcome, expiresAt: MonotonicTime) {
        if (outcome.isOwn) {
            runs.getValue(key).expiresAt = expiresAt
        } else {
            runs.remove(key)
            abandoned[run.sequence] = Unit
        }
        run.outcome.complete(outcome)
    }

    /** Returns what is known of the attempt [sequence] to run the request of [key]. */
    @Synchronized
    fun find(key: K, sequence: Long): LedgerKnowledge {
        val kept = runs[key]
        return when {
            kept?.run?.sequence == sequence -> LedgerKnowledge.Known(kept.run)
            sequence in abandoned -> LedgerKnowledge.Abandoned
            else -> LedgerKnowledge.NotKnown
        }
    }

    private fun makeRoom(now: MonotonicTime): Boolean {
        if (runs.size < capacity) return true
        prunedAt = maxOf(now, prunedAt ?: now)
        runs.values.removeIf { kept -> kept.expiresAt?.let { it < now } ?: false }
        if (runs.size < capacity || !evicts) return runs.size < capacity
        val oldest = runs.entries.firstOrNull { it.value.expiresAt != null } ?: return false
        runs.remove(oldest.key)
        return true
    }
}
