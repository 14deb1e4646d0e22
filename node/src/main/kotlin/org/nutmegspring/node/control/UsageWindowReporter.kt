package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.delay
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.SendLimit
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.usage.FixedWindow
import org.nutmegspring.usage.UsageBatch
import org.nutmegspring.usage.WindowProgress
import org.nutmegspring.usage.WindowRules
import org.nutmegspring.usage.progressKey
import org.nutmegspring.usage.windowKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fixes and reports the usage windows of one [shard] in sequence while this process holds the lease.
 *
 * Each window is computed from the previous one and written to the store only if it is absent. The window in the store
 * is the one reported, whichever process wrote it, so a window has one set of figures even if two processes compute it.
 *
 * @property lastClosedWindow returns the last window whose grace period has ended, so that it can be fixed
 * @property heldLease returns the lease of the shard, or null if this process does not hold it
 */
class UsageWindowReporter(
    private val shard: Int,
    store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: WindowRules,
    private val sendLimit: SendLimit,
    private val gatherBatches: suspend (FixedWindow) -> List<UsageBatch>,
    private val connections: UsageReportConnections,
    private val lastClosedWindow: () -> Long,
    private val heldLease: () -> HeldLease?,
) {
    private val windows = TypedObjectStore(store, FixedWindow.serializer())
    private val progress = TypedObjectStore(store, WindowProgress.serializer())

    private var lastReported: ReportedWindow? = null

    @Volatile
    private var lastConnectionClosedAt: MonotonicTime? = null

    /** Whether no report sent by this process can still take effect at the platform. */
    fun isSettled(): Boolean = lastConnectionClosedAt?.let { it <= clock.now() } ?: true

    /** Fixes and reports windows until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val lease = heldLease()
            if (lease != null && !isUpToDate(lease)) processClosedWindows()
            delay(POLL_INTERVAL)
        }
    }

    /**
     * Whether all closed windows are known under [lease] to be reported, so that nothing is left to do until the next
     * window closes. Does not read the store.
     */
    private fun isUpToDate(lease: HeldLease): Boolean =
        lastReported.let { it != null && it.fencing == lease.fencing && it.window >= lastClosedWindow() }

    /** Fixes and reports all closed windows, or returns the failure that prevented it. */
    suspend fun processClosedWindows(): Either<Failure, Unit> = either {
        val fencing = requireLease().fencing
        var last = findLastFixed(readOrCreateProgress())
        while (last.window < lastClosedWindow()) last = fixNext(last)
        while (true) {
            val current = readOrCreateProgress()
            if (current.value.reported >= last.window) break
            reportWindow(current.value.reported + 1)
            val next = WindowProgress(maxOf(last.window, current.value.fixed), current.value.reported + 1)
            progress.write(progressKey(shard), next, current.toWriteCondition()).getOrElse { raise(it.asFailure()) }
        }
        lastReported = ReportedWindow(fencing, last.window)
    }

    private suspend fun Raise<Failure>.readOrCreateProgress(): StoredValue<WindowProgress> {
        val found = progress.read(progressKey(shard)).getOrElse { raise(it.asFailure()) }
        if (found != null) return found
        val start = WindowProgress(lastClosedWindow(), lastClosedWindow())
        requireLease()
        val version = progress.write(progressKey(shard), start, WriteCondition.Absent)
            .getOrElse { raise(it.asFailure()) }
        return StoredValue(version, start)
    }

    private suspend fun Raise<Failure>.findLastFixed(from: StoredValue<WindowProgress>): FixedWindow {
        var last = readWindow(from.value.fixed) ?: FixedWindow(shard, from.value.fixed, emptyList(), emptyList())
        while (true) last = readWindow(last.window + 1) ?: return last
    }

    private suspend fun Raise<Failure>.fixNext(previous: FixedWindow): FixedWindow {
        val next = rules.nextWindow(previous, gatherBatches(previous))
        requireLease()
        val written = windows.write(windowKey(shard, next.window), next, WriteCondition.Absent)
        if (written.isRight()) return next
        return readWindow(next.window) ?: raise(createFailure("window ${next.window} could not be written"))
    }

    private suspend fun Raise<Failure>.reportWindow(window: Long) {
        val fixed = readWindow(window) ?: raise(createFailure("window $window is missing in the store"))
        val fencing = requireLease().fencing
        val connection = connections.open().getOrElse { raise(it) }
        try {
            connection.prepare().getOrElse { raise(it) }
            val answeredAt = clock.now()
            if (!sendLimit.isCovered(heldLease(), fencing, answeredAt)) {
                raise(createFailure("the lease does not outlast the connection"))
            }
            lastConnectionClosedAt = sendLimit.connectionClosedAt(answeredAt)
            connection.send(fixed.toReport(fencing)).getOrElse { raise(it) }
            lastConnectionClosedAt = null
        } finally {
            connection.close()
        }
    }

    private suspend fun Raise<Failure>.readWindow(window: Long): FixedWindow? =
        windows.read(windowKey(shard, window)).getOrElse { raise(it.asFailure()) }?.value

    private fun Raise<Failure>.requireLease(): HeldLease = heldLease() ?: raise(createFailure("the lease is not held"))

    private fun StoreFailure.asFailure(): Failure = toFailure(Step.REPORT_USAGE)

    private fun createFailure(message: String): Failure =
        Failure(Step.REPORT_USAGE, Peer.PLATFORM, Effect.UNKNOWN, message, retryAfter = POLL_INTERVAL)

    /** All windows up to [window] have been reported, as established under the lease with the token [fencing]. */
    private class ReportedWindow(
        val fencing: FencingToken,
        val window: Long,
    )

    private companion object {
        val POLL_INTERVAL = 500.milliseconds
    }
}
