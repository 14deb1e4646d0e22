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
 * Fixes and reports the usage windows of one [shard] in their order, while this process holds the lease.
 *
 * A window is made from the one before it and created in the store if absent. What the store holds then is reported,
 * whoever made it, so a window has one set of figures also when two processes make it.
 *
 * @property lastClosed returns the last window that has ended long enough ago to be fixed
 * @property held the lease of the shard, or null when it is not held
 */
class UsageWindows(
    private val shard: Int,
    store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: WindowRules,
    private val sendLimit: SendLimit,
    private val gather: suspend (FixedWindow) -> List<UsageBatch>,
    private val connections: UsageReportConnections,
    private val lastClosed: () -> Long,
    private val held: () -> HeldLease?,
) {
    private val windows = StoredValues(store, FixedWindow.serializer())
    private val progress = StoredValues(store, WindowProgress.serializer())

    private var finished: FinishedWindow? = null

    @Volatile
    private var deadline: MonotonicTime? = null

    /** Whether no report of this process can still reach the platform. */
    fun isSettled(): Boolean = deadline?.let { it <= clock.now() } ?: true

    /** Fixes and reports windows until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val lease = held()
            if (lease != null && !isFinished(lease)) advance()
            delay(POLL_INTERVAL)
        }
    }

    /** Whether nothing is left to do before the next window ends. The store is not asked. */
    private fun isFinished(lease: HeldLease): Boolean =
        finished.let { it != null && it.fencing == lease.fencing && it.window >= lastClosed() }

    /** Fixes and reports every window that can be, or returns why it stopped. */
    suspend fun advance(): Either<Failure, Unit> = either {
        val fencing = authority().fencing
        var last = lastFixed(readProgress())
        while (last.window < lastClosed()) last = fix(last)
        while (true) {
            val current = readProgress()
            if (current.value.reported >= last.window) break
            report(current.value.reported + 1)
            val next = WindowProgress(maxOf(last.window, current.value.fixed), current.value.reported + 1)
            progress.write(progressKey(shard), next, current.asCondition()).getOrElse { raise(it.asFailure()) }
        }
        finished = FinishedWindow(fencing, last.window)
    }

    private suspend fun Raise<Failure>.readProgress(): StoredValue<WindowProgress> {
        val found = progress.read(progressKey(shard)).getOrElse { raise(it.asFailure()) }
        if (found != null) return found
        val start = WindowProgress(lastClosed(), lastClosed())
        authority()
        val version = progress.write(progressKey(shard), start, WriteCondition.Absent)
            .getOrElse { raise(it.asFailure()) }
        return StoredValue(version, start)
    }

    private suspend fun Raise<Failure>.lastFixed(from: StoredValue<WindowProgress>): FixedWindow {
        var last = read(from.value.fixed) ?: FixedWindow(shard, from.value.fixed, emptyList(), emptyList())
        while (true) last = read(last.window + 1) ?: return last
    }

    private suspend fun Raise<Failure>.fix(previous: FixedWindow): FixedWindow {
        val next = rules.nextWindow(previous, gather(previous))
        authority()
        val written = windows.write(windowKey(shard, next.window), next, WriteCondition.Absent)
        if (written.isRight()) return next
        return read(next.window) ?: raise(failure("window ${next.window} could not be fixed"))
    }

    private suspend fun Raise<Failure>.report(window: Long) {
        val fixed = read(window) ?: raise(failure("window $window is missing"))
        val fencing = authority().fencing
        val connection = connections.open().getOrElse { raise(it) }
        try {
            connection.prepare().getOrElse { raise(it) }
            val answeredAt = clock.now()
            if (!sendLimit.isCovered(held(), fencing, answeredAt)) raise(failure("the lease is about to end"))
            deadline = sendLimit.connectionClosedAt(answeredAt)
            connection.send(fixed.toReport(fencing)).getOrElse { raise(it) }
            deadline = null
        } finally {
            connection.close()
        }
    }

    private suspend fun Raise<Failure>.read(window: Long): FixedWindow? =
        windows.read(windowKey(shard, window)).getOrElse { raise(it.asFailure()) }?.value

    private fun Raise<Failure>.authority(): HeldLease = held() ?: raise(failure("the lease is not held"))

    private fun StoreFailure.asFailure(): Failure = toFailure(Step.REPORT_USAGE)

    private fun failure(message: String): Failure =
        Failure(Step.REPORT_USAGE, Peer.PLATFORM, Effect.UNKNOWN, message, retryAfter = POLL_INTERVAL)

    /** Up to [window] every window was reported under the lease of [fencing]. */
    private class FinishedWindow(
        val fencing: FencingToken,
        val window: Long,
    )

    private companion object {
        val POLL_INTERVAL = 500.milliseconds
    }
}
