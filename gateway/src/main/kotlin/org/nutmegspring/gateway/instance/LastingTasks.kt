package org.nutmegspring.gateway.instance

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import kotlin.time.Duration.Companion.milliseconds

/** Runs the tasks that last as long as the instance. One that ends by an unexpected error begins again. */
internal class LastingTasks(private val scope: CoroutineScope, private val log: DecisionLog) {
    /** Runs [task], called [name] in the log, until the scope ends. */
    fun start(name: String, task: suspend () -> Nothing) {
        scope.launch {
            while (true) {
                runOnce(name, task)
                delay(RESTART_PAUSE)
            }
        }
    }

    private suspend fun CoroutineScope.runOnce(name: String, task: suspend () -> Nothing) {
        try {
            task()
        } catch (cancelled: CancellationException) {
            // One that comes from within the task, such as an expired timeout, must not end it.
            ensureActive()
            recordEnd(name, cancelled)
        } catch (unexpected: Exception) {
            recordEnd(name, unexpected)
        } catch (exhausted: StackOverflowError) {
            recordEnd(name, exhausted)
        }
    }

    private fun recordEnd(name: String, cause: Throwable) =
        log.record(DecisionEvent.Skipped("the task '$name' ended and begins again", cause.stackTraceToString()))

    private companion object {
        /** Bounds the work of a task that fails at once each time. */
        val RESTART_PAUSE = 500.milliseconds
    }
}
