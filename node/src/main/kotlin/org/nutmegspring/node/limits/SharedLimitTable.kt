package org.nutmegspring.node.limits

import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.identity.Revision
import org.nutmegspring.limits.LimitTable
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime

/**
 * The limits of this instance, shared by its coroutines.
 *
 * One lock guards the table. It is the last in the lock order: no other lock is taken and nothing waits while it is
 * held. The clock is read under the lock, so the table sees times in order.
 */
internal class SharedLimitTable(
    private val table: LimitTable,
    private val configuration: StateFlow<Configuration>,
    private val clock: MonotonicClock,
) {
    private var applied: Revision? = null

    /** Runs [action] on the table, which applies the current configuration, at the current time. */
    fun <T> use(action: LimitTable.(now: MonotonicTime) -> T): T = synchronized(table) {
        val now = clock.now()
        applyCurrent(now)
        table.action(now)
    }

    private fun applyCurrent(now: MonotonicTime) {
        val current = configuration.value
        if (current.revision == applied) return
        applied = current.revision
        table.apply(current.organisations.mapValues { it.value.rate }, now)
    }
}
