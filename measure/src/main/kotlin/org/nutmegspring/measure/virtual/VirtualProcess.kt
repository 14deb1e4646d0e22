package org.nutmegspring.measure.virtual

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.suspendCancellableCoroutine
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A process on virtual time whose coroutines can be paused together and ended at once.
 *
 * @property clockRate how fast the monotonic clock of the process runs relative to virtual time
 */
class VirtualProcess(
    val name: String,
    private val schedule: VirtualSchedule,
    private val clockRate: Double = 1.0,
    private val clockOffset: Duration = Duration.ZERO,
) {
    private var pausedUntil = MonotonicTime.ZERO
    private val job: Job = SupervisorJob()

    /** Whether the process has not been ended. */
    var alive: Boolean = true
        private set

    /** The monotonic clock of the process. */
    val clock: MonotonicClock = MonotonicClock {
        MonotonicTime.ZERO + clockOffset + (schedule.now() - MonotonicTime.ZERO) * clockRate
    }

    /** The scope of the coroutines of the process. */
    val scope: CoroutineScope = CoroutineScope(job + Dispatcher())

    /** Stops all coroutines of the process for [span]. */
    fun pause(span: Duration) {
        pausedUntil = maxOf(pausedUntil, schedule.now() + span)
    }

    /** Ends the process at once. Nothing of it runs again, not even the clean-up of its coroutines. */
    fun kill() {
        alive = false
    }

    /** Runs [action] after [span] and, when the process is paused then, once it goes on. */
    fun after(span: Duration, action: () -> Unit): DisposableHandle {
        val timer = Timer(action)
        schedule.after(span) { runUnpaused(timer) }
        return timer
    }

    /** Runs [action] once the process is not paused, and suspends the caller until [action] resumes it. */
    suspend fun <T> call(action: ((T) -> Unit) -> Unit): T = suspendCancellableCoroutine { continuation ->
        after(Duration.ZERO) {
            action { result -> after(Duration.ZERO) { if (continuation.isActive) continuation.resume(result) } }
        }
    }

    private fun runUnpaused(timer: Timer) {
        val wait = pausedUntil - schedule.now()
        when {
            !alive -> Unit
            wait.isPositive() -> schedule.after(wait) { runUnpaused(timer) }
            else -> timer.fire()
        }
    }

    private class Timer(private var action: (() -> Unit)?) : DisposableHandle {
        override fun dispose() {
            action = null
        }

        fun fire() {
            action?.invoke()
        }
    }

    @OptIn(InternalCoroutinesApi::class)
    private inner class Dispatcher :
        CoroutineDispatcher(),
        Delay {
        override fun dispatch(context: CoroutineContext, block: Runnable) {
            after(Duration.ZERO) { block.run() }
        }

        override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
            val timer = after(timeMillis.milliseconds / clockRate) { continuation.resume(Unit) }
            continuation.invokeOnCancellation { timer.dispose() }
        }

        override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
            after(timeMillis.milliseconds / clockRate) { block.run() }
    }
}
