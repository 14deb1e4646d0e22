package org.nutmegspring.gateway.duties

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.control.TypedObjectStore
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The final request counts of one usage window, as stored. */
@Serializable
data class ClosedWindow(val counts: Map<OrganisationId, Long>)

/**
 * Reports usage while this instance holds the duties.
 *
 * The counts of a window are stored by a create-only write before they are sent, so that any instance that reports the
 * window again sends the same counts.
 *
 * @param countRequests returns the requests of each organisation in a window, over all instances
 * @param propagationTime returns the time within which the counts of the other instances reach this one
 * @param reportDeadline the time after the end of a window within which it has to be reported
 */
class UsageReporter(
    private val caller: DutyCaller,
    store: ObjectStore,
    private val countRequests: (Long) -> Map<OrganisationId, Long>,
    private val propagationTime: () -> Duration,
    private val windowLength: Duration,
    private val reportDeadline: Duration,
    private val wallClockMilliseconds: () -> Long,
) {
    private val windows = TypedObjectStore(store, ClosedWindow.serializer())
    private val maximumSettlingTime = maxOf(MINIMUM_SETTLING_TIME, reportDeadline / 2)
    private var nextWindow = 0L

    /** Reports windows until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_INTERVAL)
            if (caller.isHolding) reportDueWindows()
        }
    }

    private suspend fun reportDueWindows() {
        val length = windowLength.inWholeMilliseconds
        val now = wallClockMilliseconds()
        val settlingTime = propagationTime().coerceIn(MINIMUM_SETTLING_TIME, maximumSettlingTime)
        val lastClosed = Math.floorDiv(now - settlingTime.inWholeMilliseconds, length) - 1
        val oldestDue = Math.floorDiv(now - reportDeadline.inWholeMilliseconds, length)
        nextWindow = maxOf(nextWindow, oldestDue)
        while (nextWindow <= lastClosed) {
            if (!report(nextWindow)) return
            nextWindow++
        }
    }

    /** Reports [window]. Returns whether the platform accepted the report. */
    private suspend fun report(window: Long): Boolean {
        val closed = fixCounts(window) ?: return false
        return caller.call("usage", "window $window ${closed.counts}") { holder, timeout ->
            reportUsage(window, closed.counts, holder, timeout)
        }
    }

    /** Stores the counts of [window], or returns those stored before. Returns null when neither is possible. */
    private suspend fun fixCounts(window: Long): ClosedWindow? {
        val key = ObjectKey("usage/window-$window")
        val closed = ClosedWindow(countRequests(window))
        return when (val result = windows.write(key, closed, WriteCondition.Absent)) {
            is Either.Right -> closed
            is Either.Left -> decodeExisting(result.value)
        }
    }

    private fun decodeExisting(failure: StoreFailure): ClosedWindow? {
        val existing = (failure as? StoreFailure.Conflict)?.current ?: return null
        return windows.decode(existing).fold({ null }, { it.value })
    }

    private companion object {
        val CHECK_INTERVAL = 500.milliseconds

        /** Longer than the offsets between the clocks of instances. */
        val MINIMUM_SETTLING_TIME = 2500.milliseconds
    }
}
