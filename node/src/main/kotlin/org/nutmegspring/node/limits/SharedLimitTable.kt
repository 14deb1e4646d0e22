package org.nutmegspring.node.limits

import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.identity.Revision
import org.nutmegspring.limits.LimitTable
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime

/**
 * The limit table of this instance, shared by its coroutines.
 *
 * One lock guards the table. It is the last in the lock order: while it is held, no other lock is acquired and nothing
 * blocks or suspends. The clock is read under the lock, so that the table receives non-decreasing times.
 */
internal class SharedLimitTable(
    private val table: LimitTable,
    private val configuration: StateFlow<Configuration>,
    private val clock: MonotonicClock,
) {
    private var appliedRevision: Revision? = null

    /** Runs [action] under the lock with the current time, after applying the current configuration to the table. */
    fun <T> withTable(action: LimitTable.(now: MonotonicTime) -> T): T = synchronized(table) {
        val now = clock.now()
        applyCurrentConfiguration(now)
        table.action(now)
    }

    private fun applyCurrentConfiguration(now: MonotonicTime) {
        val current = configuration.value
        if (current.revision == appliedRevision) return
        appliedRevision = current.revision
        table.apply(current.organisations.mapValues { it.value.rate }, now)
    }
}
