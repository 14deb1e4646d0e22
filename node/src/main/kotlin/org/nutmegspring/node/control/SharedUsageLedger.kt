package org.nutmegspring.node.control

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.usage.UsageEntry
import org.nutmegspring.usage.UsageLedger

/**
 * The usage ledger of this instance for concurrent use.
 *
 * @property window returns the present window
 * @property retention how many windows a batch is held at most
 */
class SharedUsageLedger(
    private val ledger: UsageLedger,
    private val retention: Long,
    private val window: () -> Long,
) {
    /** The process whose usage is counted. */
    val source: Incarnation get() = ledger.source

    /** Counts [entry] in the present window. */
    fun count(entry: UsageEntry) = use { it.count(entry, window()) }

    /** Seals what was counted, and drops what no window takes in any more. */
    fun seal() = use { held ->
        val present = window()
        held.seal(present)
        held.dropBefore(present - retention)
    }

    /** Calls [action] with the ledger locked. */
    @Synchronized
    fun <T> use(action: (UsageLedger) -> T): T = action(ledger)
}

/** Ranks [candidate] among the possible keepers of the batches of [source]; the least is asked first. */
internal fun keeperRank(source: InstanceId, candidate: InstanceId): Long =
    Hashing.komihash5_0().hashCharsToLong("$source\n$candidate")
