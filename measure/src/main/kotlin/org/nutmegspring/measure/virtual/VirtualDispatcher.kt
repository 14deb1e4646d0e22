package org.nutmegspring.measure.virtual

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import org.nutmegspring.time.MonotonicTime
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the coroutines of one simulated process on a [schedule]. The process can be paused and stopped. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class VirtualDispatcher(private val schedule: VirtualSchedule) : CoroutineDispatcher(), Delay {
    private var pausedUntil = MonotonicTime.ZERO

    /** Whether the process has ended. What it had left to do never runs. */
    var stopped: Boolean = false
        private set

    /** Whether the process is paused now. */
    val paused: Boolean get() = schedule.now() < pausedUntil

    /** Keeps the process from running anything for [duration]. */
    fun pause(duration: Duration) {
        pausedUntil = maxOf(pausedUntil, schedule.now() + duration)
    }

    /** Ends the process at once. */
    fun stop() {
        stopped = true
    }

    override fun dispatch(context: CoroutineContext, block: Runnable): Unit = enqueue(Duration.ZERO) { block.run() }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>): Unit =
        enqueue(timeMillis.milliseconds) {
            with(continuation) { resumeUndispatched(Unit) }
        }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        var disposed = false
        enqueue(timeMillis.milliseconds) { if (!disposed) block.run() }
        return DisposableHandle { disposed = true }
    }

    private fun enqueue(delay: Duration, action: () -> Unit): Unit = schedule.after(delay) {
        when {
            stopped -> Unit
            paused -> enqueue(pausedUntil - schedule.now(), action)
            else -> action()
        }
    }
}
