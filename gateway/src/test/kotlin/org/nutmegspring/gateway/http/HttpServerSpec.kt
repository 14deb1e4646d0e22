package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class HttpServerSpec {
    private val loop = EventLoop()
    private val scope = CoroutineScope(loop.dispatcher + SupervisorJob() + CoroutineExceptionHandler { _, _ -> })
    private val limits = object : ServerLimits {
        override val maximumBodyBytes: Int = 100
        override val requestTimeout: Duration = 30.seconds
        override val idleTimeout: Duration = 30.seconds
        override var isStopping: Boolean = false
    }

    @AfterEach
    fun closeLoop() {
        scope.cancel()
        loop.close()
    }

    private fun serve(handler: RequestHandler) = startHttpServer(loop, scope, "127.0.0.1:0", limits, 2_000, handler)

    private val echo = RequestHandler { exchange ->
        exchange.respond(
            200,
            DefaultHttpHeaders(),
            "${exchange.call.target} ${exchange.call.body.size}".encodeToByteArray(),
        )
    }

    /** Sends [text] and returns all bytes until the server closes the connection. */
    private fun exchange(server: HttpServer, text: String): String = Socket("127.0.0.1", server.port).use {
        it.soTimeout = 20_000
        it.getOutputStream().writeHttp(text)
        it.getInputStream().readBytes().decodeToString()
    }

    private fun statuses(answer: String) = Regex("HTTP/1.1 (\\d+)").findAll(answer).map { it.groupValues[1] }.toList()

    @Nested
    inner class `given well-formed requests` {
        @Test
        fun `pipelined requests on one connection are answered in order`() {
            val answer =
                exchange(serve(echo), "GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\nConnection: close\n\n")
            assertEquals(listOf("200", "200"), statuses(answer))
            assertTrue(answer.indexOf("/1 0") < answer.indexOf("/2 0"))
        }

        @Test
        fun `a chunked body is read completely`() {
            val request = "POST /c HTTP/1.1\nHost: h\nConnection: close\nTransfer-Encoding: chunked\n\n" +
                "3\nabc\n2\nde\n0\n\n"
            assertTrue("/c 5" in exchange(serve(echo), request))
        }
    }

    @Nested
    inner class `given malformed or oversized requests` {
        @Test
        fun `a body with a length and chunks is refused and the following bytes are not read as a request`() {
            val request = "POST /a HTTP/1.1\nHost: h\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n" +
                "GET /smuggled HTTP/1.1\nHost: h\n\n"
            val answer = exchange(serve(echo), request)
            assertEquals(listOf("400"), statuses(answer))
            assertFalse("/smuggled" in answer)
        }

        @Test
        fun `a head that is too large is refused`() {
            assertEquals(
                listOf("431"),
                statuses(exchange(serve(echo), "GET / HTTP/1.1\nHost: h\nX: ${"x".repeat(4_000)}\n\n")),
            )
        }

        @Test
        fun `a body that is too large is refused`() {
            assertEquals(
                listOf("413"),
                statuses(exchange(serve(echo), "POST / HTTP/1.1\nHost: h\nContent-Length: 101\n\n")),
            )
        }

        @Test
        fun `bytes that are not an HTTP request are refused`() {
            assertEquals(listOf("400"), statuses(exchange(serve(echo), "this is not http at all\n\n")))
        }
    }

    @Nested
    inner class `when a caller closes its connection during a request` {
        @Test
        fun `the handler is cancelled`() {
            val started = CountDownLatch(1)
            val cancelled = CountDownLatch(1)
            val server = serve {
                started.countDown()
                try {
                    CompletableDeferred<Unit>().await()
                } finally {
                    cancelled.countDown()
                }
            }
            Socket("127.0.0.1", server.port).use {
                it.getOutputStream().writeHttp("GET / HTTP/1.1\nHost: h\n\n")
                assertTrue(started.await(20, TimeUnit.SECONDS))
            }
            assertTrue(cancelled.await(20, TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class `when the handler fails` {
        @Test
        fun `the connection is closed so that the caller does not wait for an answer`() {
            assertEquals("", exchange(serve { error("defect") }, "GET / HTTP/1.1\nHost: h\n\n"))
        }
    }

    @Nested
    inner class `when an answer is aborted after its start` {
        @Test
        fun `the last chunk is not sent`() {
            val server = serve {
                it.start(200, DefaultHttpHeaders())
                it.send("part".encodeToByteArray())
                it.abort()
            }
            val answer = exchange(server, "GET / HTTP/1.1\nHost: h\n\n")
            assertFalse(answer.endsWith("0\r\n\r\n"), answer)
        }
    }

    @Nested
    inner class `while the process is stopping` {
        @Test
        fun `each answer asks the caller to close the connection`() {
            limits.isStopping = true
            assertTrue("connection: close" in exchange(serve(echo), "GET / HTTP/1.1\nHost: h\n\n").lowercase())
        }

        // Guards against LOST: requests that were read behind another one were dropped without an answer.
        @Test
        fun `requests that were read behind another one are answered`() {
            limits.isStopping = true
            val answer = exchange(serve(echo), "GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n")
            assertEquals(listOf("200", "200"), statuses(answer))
        }

        // Guards against LOST: an answer that a caller reads slowly was cut off when the process ended.
        @Test
        fun `an answer that is not written yet keeps the server busy`() {
            val handled = CountDownLatch(1)
            val server = serve { exchange ->
                exchange.respond(200, DefaultHttpHeaders(), ByteArray(LARGE_ANSWER_BYTES))
                handled.countDown()
            }
            Socket("127.0.0.1", server.port).use {
                it.getOutputStream().writeHttp("GET / HTTP/1.1\nHost: h\n\n")
                assertTrue(handled.await(20, TimeUnit.SECONDS))
                assertTrue(onLoop { server.isBusy })
            }
        }

        @Test
        fun `a request of which a part is missing is refused when the process ends`() {
            val server = serve(echo)
            Socket("127.0.0.1", server.port).use {
                it.soTimeout = 20_000
                it.getOutputStream().writeHttp("POST / HTTP/1.1\nHost: h\nContent-Length: 10\n\npart")
                while (!onLoop { server.isBusy }) Thread.onSpinWait()
                onLoop { server.refuseIncomplete() }
                assertEquals(listOf("503"), statuses(it.getInputStream().readBytes().decodeToString()))
            }
        }

        private fun <T> onLoop(block: () -> T): T = runBlocking(loop.dispatcher) { block() }
    }

    private companion object {
        /** More than the system buffers for a connection. */
        const val LARGE_ANSWER_BYTES = 64 * 1024 * 1024
    }
}
