package org.nutmegspring.gateway.duties

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.control.StoredValues
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The figures of one window as they were fixed for good. */
@Serializable
data class ClosedWindow(val counts: Map<OrganisationId, Long>)

/**
 * Reports usage while this instance holds the duty.
 *
 * The figures of a window are fixed by creating an object in the store before they are sent, so that whoever reports
 * the window later sends the same.
 *
 * @param windowLength the length of a window
 * @param reportWithin in which time after its end a window has to be reported
 */
class UsageReporter(
    private val caller: DutyCaller,
    store: ObjectStore,
    private val counted: (Long) -> Map<OrganisationId, Long>,
    private val windowLength: Duration,
    private val reportWithin: Duration,
    private val timeOfDayMilliseconds: () -> Long,
) {
    private val windows = StoredValues(store, ClosedWindow.serializer())
    private var nextWindow = 0L

    /** Reports windows until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_EVERY)
            if (caller.isHolding) reportDue()
        }
    }

    private suspend fun reportDue() {
        val length = windowLength.inWholeMilliseconds
        val now = timeOfDayMilliseconds()
        val lastClosed = Math.floorDiv(now - SETTLING.inWholeMilliseconds, length) - 1
        val oldestDue = Math.floorDiv(now - reportWithin.inWholeMilliseconds, length)
        nextWindow = maxOf(nextWindow, oldestDue)
        while (nextWindow <= lastClosed) {
            if (!report(nextWindow)) return
            nextWindow++
        }
    }

    /** Reports [window]. Returns whether the platform took the report. */
    private suspend fun report(window: Long): Boolean {
        val figures = close(window) ?: return false
        return caller.call("usage", "window $window ${figures.counts}") { holder, timeout ->
            reportUsage(window, figures.counts, holder, timeout)
        }
    }

    /** Fixes the figures of [window], or returns those that were fixed before. */
    private suspend fun close(window: Long): ClosedWindow? {
        val key = ObjectKey("usage/window-$window")
        val figures = ClosedWindow(counted(window))
        return when (val written = windows.write(key, figures, WriteCondition.Absent)) {
            is Either.Right -> figures
            is Either.Left -> fixed(written.value)
        }
    }

    private fun fixed(failure: StoreFailure): ClosedWindow? {
        val existing = (failure as? StoreFailure.Conflict)?.current ?: return null
        return windows.decode(existing).fold({ null }, { it.value })
    }

    private companion object {
        val CHECK_EVERY = 500.milliseconds

        /** Counts of other instances arrive within an exchange or two; clocks differ by less. */
        val SETTLING = 2500.milliseconds
    }
}
