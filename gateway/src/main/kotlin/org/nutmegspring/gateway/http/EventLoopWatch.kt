package org.nutmegspring.gateway.http

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Calls [onDead] when the thread of [loop] has ended or answers nothing, because a process that lives without it serves
 * nobody and is not restarted.
 *
 * Time is counted in steps of its own thread, so that a process that was stopped or had no processor time is not ended.
 */
class EventLoopWatch(private val loop: EventLoop, private val onDead: (String) -> Unit) : AutoCloseable {
    private val unanswered = AtomicInteger()

    @Volatile
    private var isOver = false

    /** Starts to watch. */
    fun start() {
        thread(isDaemon = true, name = "event-loop-watch") {
            while (!isOver) {
                check()
                Thread.sleep(STEP_MILLISECONDS)
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
        const val STEP_MILLISECONDS = 500L

        /** 15 s: several times the longest pause of a collector or a frozen core, and the idle time of callers. */
        const val MAXIMUM_UNANSWERED = 30
    }
}
