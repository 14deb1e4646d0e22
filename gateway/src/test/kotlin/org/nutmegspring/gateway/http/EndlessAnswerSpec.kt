package org.nutmegspring.gateway.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.time.systemMonotonicClock
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EndlessAnswerSpec {
    private val loop = EventLoop()
    private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds)
    private val closed = CountDownLatch(1)

    @AfterEach
    fun closeLoop() = loop.close()

    /** Returns the failure of a request whose server sends [head] and then [endless] again and again. */
    private fun failure(head: String, endless: String): Failure {
        val server = ScriptedServer { _, socket -> answerWithoutEnd(socket, head, endless) }
        return server.use {
            val call = HttpCall("GET", "/x").also { call -> call.headers.set("Host", "h") }
            val answer = runBlocking {
                withContext(loop.dispatcher) {
                    val opened = connections.open(it.address, call) { headers -> !headers.contains("Other") }
                    checkNotNull(opened.getOrNull()).use { answer -> answer.readWhole(it.address, MAXIMUM_BODY_BYTES) }
                }
            }
            assertTrue(closed.await(10, TimeUnit.SECONDS), "the connection is still open")
            checkNotNull(answer.leftOrNull())
        }
    }

    private fun answerWithoutEnd(socket: Socket, head: String, endless: String) {
        socket.getInputStream().readHead()
        val output = socket.getOutputStream()
        output.writeHttp(head)
        val bytes = endless.repeat(REPETITIONS_PER_WRITE).replace("\n", "\r\n").encodeToByteArray()
        val written = runCatching { repeat(WRITES) { output.write(bytes) } }
        if (written.isFailure || socket.getInputStream().read() < 0) closed.countDown()
    }

    @Nested
    inner class `given bytes without end in the head of an answer` {
        @Test
        fun `a header line that never ends is a failure`() {
            assertEquals(Effect.UNKNOWN, failure("HTTP/1.1 200 OK\nName: ", "endless ").effect)
        }

        @Test
        fun `headers that never end are a failure`() {
            assertEquals(Effect.UNKNOWN, failure("HTTP/1.1 200 OK\n", "Name: endless\n").effect)
        }

        @Test
        fun `a status line that never ends is a failure`() {
            assertEquals(Effect.UNKNOWN, failure("HTTP/1.1 200 ", "endless ").effect)
        }

        @Test
        fun `interim answers that never end are a failure`() {
            assertContains(failure("", "HTTP/1.1 100 Continue\n\n").message, "skipped")
        }
    }

    @Nested
    inner class `given bytes without end in the body of an answer` {
        @Test
        fun `a body with no length that never ends is a failure`() {
            assertContains(failure("HTTP/1.1 200 OK\n\n", "endless ").message, "larger than")
        }

        @Test
        fun `chunks that never end are a failure`() {
            val head = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
            assertContains(failure(head, "7\nendless\n").message, "larger than")
        }

        @Test
        fun `a chunk size that never ends is a failure`() {
            val head = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
            assertEquals(Effect.UNKNOWN, failure(head, "0").effect)
        }

        @Test
        fun `an answer to an earlier request that never ends is a failure`() {
            assertContains(failure("HTTP/1.1 200 OK\nOther: 1\n\n", "endless ").message, "skipped")
        }
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1_048_576

        /** The server stops after about 64 MiB, so that a missing limit does not fill the heap. */
        const val WRITES = 1024
        const val REPETITIONS_PER_WRITE = 8192
    }
}
