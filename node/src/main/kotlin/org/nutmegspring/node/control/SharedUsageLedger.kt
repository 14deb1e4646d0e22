package org.nutmegspring.node.control

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.usage.UsageEntry
import org.nutmegspring.usage.UsageLedger

/**
 * A thread-safe wrapper of the usage ledger of this instance.
 *
 * @property retentionWindows the number of windows for which a batch is retained at most
 * @property currentWindow returns the number of the current window
 */
class SharedUsageLedger(
    private val ledger: UsageLedger,
    private val retentionWindows: Long,
    private val currentWindow: () -> Long,
) {
    /** The process whose usage this ledger counts. */
    val source: Incarnation get() = ledger.source

    /** Counts [entry] in the current window. */
    fun count(entry: UsageEntry) = withLock { it.count(entry, currentWindow()) }

    /** Seals the open batches and drops those that are too late to be included in any window. */
    fun seal() = withLock { locked ->
        val current = currentWindow()
        locked.seal(current)
        locked.dropBefore(current - retentionWindows)
    }

    /** Calls [action] while holding the lock of the ledger. */
    @Synchronized
    fun <T> withLock(action: (UsageLedger) -> T): T = action(ledger)
}

/** Returns the rank of [candidate] as keeper of the batches of [source]. The lowest rank is preferred. */
internal fun computeKeeperRank(source: InstanceId, candidate: InstanceId): Long =
    Hashing.komihash5_0().hashCharsToLong("$source\n$candidate")
