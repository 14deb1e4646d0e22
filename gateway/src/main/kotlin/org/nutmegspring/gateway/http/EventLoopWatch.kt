package org.nutmegspring.gateway.http

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls [onDead] when the thread of [loop] has ended or answers nothing, because a process that lives without it serves
 * nobody and is not restarted.
 *
 * Time is counted in steps of [step] of its own thread, so that a process that was stopped or had no processor time is
 * not ended.
 */
class EventLoopWatch(
    private val loop: EventLoop,
    private val step: Duration = DEFAULT_STEP,
    private val onDead: (String) -> Unit,
) : AutoCloseable {
    private val unanswered = AtomicInteger()

    @Volatile
    private var isOver = false

    /** Starts to watch. */
    fun start() {
        thread(isDaemon = true, name = "event-loop-watch") {
            while (!isOver) {
                check()
                Thread.sleep(step.inWholeMilliseconds)
            }
        }
    }

    private fun check() {
        if (unanswered.getAndIncrement() >= MAXIMUM_UNANSWERED) return end("the event loop does not answer")
        try {
            loop.group.next().execute { unanswered.set(0) }
        } catch (_: RejectedExecutionException) {
            end("the event loop has ended")
        }
    }

    private fun end(reason: String) {
        if (!isOver) onDead(reason)
        isOver = true
    }

    override fun close() {
        isOver = true
    }

    private companion object {
        val DEFAULT_STEP = 500.milliseconds

        /** 15 s at the default step, longer than pauses of the collector or of a starved processor core. */
        const val MAXIMUM_UNANSWERED = 30
    }
}
