package org.nutmegspring.gateway.duties

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.control.TypedObjectStore
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The final request counts of one usage window, as stored. */
@Serializable
data class ClosedWindow(val counts: Map<OrganisationId, Long>)

/**
 * Reports usage while this instance holds the duties.
 *
 * The counts of a window are stored by a create-only write before they are sent, so that any instance that reports the
 * window again sends the same counts. A store that returns from an older copy may have lost them. A window whose counts
 * may have been stored in an earlier era is therefore reported only if this instance or the store still has them.
 *
 * @param eraAge returns for how long at least the era of the store has lasted, null before its first answer
 * @param countRequests returns the requests of each organisation in a window, over all instances
 * @param propagationTime returns the time within which the counts of the other instances reach this one
 * @param reportDeadline the time after the end of a window within which it has to be reported
 * @param onSkipped called with a window that is not reported, since its counts may be lost
 */
class UsageReporter(
    private val caller: DutyCaller,
    private val store: ObjectStore,
    private val eraAge: () -> Duration?,
    private val countRequests: (Long) -> Map<OrganisationId, Long>,
    private val propagationTime: () -> Duration,
    private val windowLength: Duration,
    private val reportDeadline: Duration,
    private val wallClockMilliseconds: () -> Long,
    private val onSkipped: (Long) -> Unit,
) {
    private class FixedCounts(val closed: ClosedWindow, val era: StoreEra?)

    private val fixedCounts = sortedMapOf<Long, FixedCounts>()
    private val windows = TypedObjectStore(store, ClosedWindow.serializer())
    private val maximumSettlingTime = maxOf(MINIMUM_SETTLING_TIME, reportDeadline / 2)
    private var nextWindow = 0L
    private var heldSince: Long? = null

    /** Reports windows until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(CHECK_INTERVAL)
            heldSince = if (caller.isHolding) heldSince ?: wallClockMilliseconds() else null
            if (heldSince != null) reportDueWindows()
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

    /** Reports [window]. Returns whether it is done with: the platform accepted the report, or there can be none. */
    private suspend fun report(window: Long): Boolean = when (val counts = fixCounts(window)) {
        is FixResult.Fixed -> {
            caller.call("usage", "window $window ${counts.closed.counts}") { holder, timeout ->
                reportUsage(window, counts.closed.counts, holder, timeout)
            }
        }

        FixResult.Lost -> {
            onSkipped(window)
            true
        }

        FixResult.Unavailable -> {
            false
        }
    }

    /** What came of fixing the counts of a window. */
    private sealed interface FixResult {
        class Fixed(val closed: ClosedWindow) : FixResult

        /** Counts may have been reported that neither this instance nor the store has. */
        data object Lost : FixResult

        /** The store did not answer. */
        data object Unavailable : FixResult
    }

    /** Stores the counts of [window], or returns those stored before. */
    private suspend fun fixCounts(window: Long): FixResult {
        val era = store.era
        val known = fixedCounts[window]
        if (known != null && known.era == era) return FixResult.Fixed(known.closed)
        val key = ObjectKey("usage/window-$window")
        val closed = when {
            known != null -> {
                store(key, known.closed)
            }

            mayBeClosedInEarlierEra(window) -> {
                windows.read(key).fold({ null }, { it ?: return FixResult.Lost })?.value
            }

            else -> {
                store(key, ClosedWindow(countRequests(window)))
            }
        } ?: return FixResult.Unavailable
        fixedCounts[window] = FixedCounts(closed, era)
        while (fixedCounts.size > MAXIMUM_FIXED_WINDOWS) fixedCounts.remove(fixedCounts.firstKey())
        return FixResult.Fixed(closed)
    }

    /** Creates the object at [key] with [counts]. Returns what it holds then, or null if that is not known. */
    private suspend fun store(key: ObjectKey, counts: ClosedWindow): ClosedWindow? =
        when (val result = windows.write(key, counts, WriteCondition.Absent)) {
            is Either.Right -> counts
            is Either.Left -> decodeExisting(result.value)
        }

    /**
     * Whether another instance may have stored the counts of [window] in an era whose last writes may be lost. It can
     * not have done so while this one held the duties.
     */
    private fun mayBeClosedInEarlierEra(window: Long): Boolean {
        val age = eraAge()
        if (store.era == StoreEra.FIRST || age == null) return false
        val settledAt = (window + 1) * windowLength.inWholeMilliseconds + MINIMUM_SETTLING_TIME.inWholeMilliseconds
        val earliestClose = settledAt - MAXIMUM_CLOCK_OFFSET.inWholeMilliseconds
        val isOwnToClose = heldSince?.let { it <= earliestClose } ?: false
        return !isOwnToClose && earliestClose <= wallClockMilliseconds() - age.inWholeMilliseconds
    }

    private fun decodeExisting(failure: StoreFailure): ClosedWindow? {
        val existing = (failure as? StoreFailure.Conflict)?.current ?: return null
        return windows.decode(existing).fold({ null }, { it.value })
    }

    private companion object {
        val CHECK_INTERVAL = 500.milliseconds

        /** Longer than the offsets between the clocks of instances. */
        val MINIMUM_SETTLING_TIME = 2500.milliseconds
        val MAXIMUM_CLOCK_OFFSET = 1.seconds

        /** More than the windows between an era and the deadline of their reports. */
        const val MAXIMUM_FIXED_WINDOWS = 16
    }
}
