package org.nutmegspring.gateway.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class EventLoopWatchSpec {
    private val loop = EventLoop()
    private val reason = CompletableFuture<String>()
    private val watch = EventLoopWatch(loop, 1.milliseconds) { reason.complete(it) }

    @AfterEach
    fun close() {
        watch.close()
        loop.close()
    }

    private fun awaitReason(): String = reason.get(60, TimeUnit.SECONDS)

    // Guards against a process that lives on, answers nothing and is not restarted.
    @Nested
    inner class `given an event loop that serves nobody` {
        @Test
        fun `its end is told`() {
            loop.close()
            watch.start()
            assertEquals("the event loop has ended", awaitReason())
        }

        @Test
        fun `that it hangs is told`() {
            val mayGoOn = CountDownLatch(1)
            loop.group.execute { mayGoOn.await() }
            watch.start()
            assertEquals("the event loop does not answer", awaitReason())
            mayGoOn.countDown()
        }
    }
}
