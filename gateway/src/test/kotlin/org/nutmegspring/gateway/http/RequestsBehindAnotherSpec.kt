package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestsBehindAnotherSpec {
    private val loop = EventLoop()
    private val scope = CoroutineScope(loop.dispatcher + SupervisorJob())
    private val firstMayEnd = CompletableDeferred<Unit>()
    private val secondMayEnd = CompletableDeferred<Unit>()
    private val limits = object : ServerLimits {
        override val maximumBodyBytes: Int = 100
        override var requestTimeout: Duration = 30.seconds
        override val idleTimeout: Duration = 30.seconds
        override var isStopping: Boolean = false
    }
    private val server = startHttpServer(loop, scope, "127.0.0.1:0", limits, 2_000) { exchange ->
        when (exchange.call.target) {
            "/stream" -> {
                exchange.start(200, DefaultHttpHeaders())
                exchange.send("part".encodeToByteArray())
                firstMayEnd.await()
                exchange.finish()
            }

            "/slow" -> {
                firstMayEnd.await()
                exchange.respond(200, DefaultHttpHeaders(), HttpCall.NO_BODY)
            }

            "/large" -> {
                exchange.respond(200, DefaultHttpHeaders(), ByteArray(LARGE_BODY.length))
            }

            "/twice" -> {
                exchange.respond(200, DefaultHttpHeaders(), HttpCall.NO_BODY)
                firstMayEnd.await()
                exchange.abort()
            }

            "/second" -> {
                secondMayEnd.await()
                exchange.respond(200, DefaultHttpHeaders(), HttpCall.NO_BODY)
            }

            else -> {
                exchange.respond(200, DefaultHttpHeaders(), exchange.call.body)
            }
        }
    }
    private val caller = Socket("127.0.0.1", server.port).apply { soTimeout = 20_000 }

    @AfterEach
    fun close() {
        caller.close()
        scope.cancel()
        loop.close()
    }

    private fun <T> onLoop(block: () -> T): T = runBlocking(loop.dispatcher) { block() }

    private fun send(text: String) = caller.getOutputStream().writeHttp(text)

    private fun waitUntil(condition: () -> Boolean) {
        while (!onLoop(condition)) Thread.onSpinWait()
    }

    private fun readStatuses(): List<String> {
        val answers = caller.getInputStream().readBytes().decodeToString()
        return Regex("HTTP/1.1 (\\d+)").findAll(answers).map { it.groupValues[1] }.toList()
    }

    @Nested
    inner class `given an answer that begins during a planned stop` {
        // Guards against LOST: a request that arrived behind a stream was read and dropped when the stream ended.
        @Test
        fun `a request that arrives behind a stream is answered`() {
            limits.isStopping = true
            send("GET /stream HTTP/1.1\nHost: h\n\n")
            assertEquals("HTTP/1.1 200 OK", caller.getInputStream().readHead().first())
            send("GET /2 HTTP/1.1\nHost: h\n\n")
            waitUntil { server.queuedCount == 1 }
            firstMayEnd.complete(Unit)
            assertEquals(listOf("200"), readStatuses())
        }

        // Guards against LOST: a request that was being received was cut off by the end of the answer before it.
        @Test
        fun `a request that is being received is answered`() {
            limits.isStopping = true
            send("GET /slow HTTP/1.1\nHost: h\n\nPOST /2 HTTP/1.1\nHost: h\nContent-Length: 4\n\nab")
            waitUntil { server.receivingCount == 1 }
            firstMayEnd.complete(Unit)
            assertEquals("HTTP/1.1 200 OK", caller.getInputStream().readHead().first())
            send("cd")
            assertEquals(listOf("200"), readStatuses())
        }
    }

    @Nested
    inner class `given a request that can't be read behind others` {
        // Guards against LOST: the refusal of a malformed request took the place of the answer before it.
        @Test
        fun `the others are answered before it is refused`() {
            send("GET /slow HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\nno request at all\n\n")
            waitUntil { server.queuedCount >= 1 }
            firstMayEnd.complete(Unit)
            assertEquals(listOf("200", "200", "400"), readStatuses())
        }
    }

    @Nested
    inner class `given a request that is being received while another one is answered` {
        // Guards against CONFIG: the idle time of the connection took the place of the time limit of the request.
        @Test
        fun `its time limit goes on`() {
            limits.requestTimeout = 500.milliseconds
            send("GET /slow HTTP/1.1\nHost: h\n\nPOST /2 HTTP/1.1\nHost: h\nContent-Length: 4\n\nab")
            waitUntil { server.receivingCount == 1 }
            firstMayEnd.complete(Unit)
            assertEquals(listOf("200", "408"), readStatuses())
        }

        // Guards against LOST: a caller that asked whether to send its body was not told so behind a stream.
        @Test
        fun `its caller is told to send the body after the answer before it`() {
            send("GET /stream HTTP/1.1\nHost: h\n\n")
            assertEquals("HTTP/1.1 200 OK", caller.getInputStream().readHead().first())
            send(
                "POST /2 HTTP/1.1\nHost: h\nContent-Length: 4\nExpect: 100-continue\nConnection: close\n\n",
            )
            waitUntil { server.receivingCount == 1 }
            firstMayEnd.complete(Unit)
            while (caller.getInputStream().readHead().none { it.startsWith("HTTP/1.1 100") }) Thread.onSpinWait()
            send("abcd")
            assertEquals(listOf("200"), readStatuses())
        }
    }

    @Nested
    inner class `given an answer that announces the end of the connection` {
        // Guards against LOST: a request that came too late was read, and dropped without an answer.
        @Test
        fun `a request that was not read by then stays unread`() {
            limits.isStopping = true
            send("GET /slow HTTP/1.1\nHost: h\n\n")
            waitUntil { server.isBusy }
            onLoop {
                firstMayEnd.complete(Unit)
                send("GET /2 HTTP/1.1\nHost: h\n\n")
            }
            assertEquals(listOf("200"), readStatuses())
            waitUntil { server.connectionCount == 0 }
            assertFailsWith<IOException>("the end was no reset, so that all had been read") { send("x") }
        }

        // Guards against MIXED: the refusal of a request that came too late followed the last answer.
        @Test
        fun `nothing is sent after it`() {
            send("GET /large HTTP/1.1\nHost: h\nConnection: close\n\nGET /2 HTTP/1.1\nHost: h\n\nPOST /3 HTTP/1.1\n")
            send("Host: h\nContent-Length: 4\n\nab")
            waitUntil { server.unwrittenCount == 1 }
            onLoop { server.refuseIncomplete() }
            assertEquals(listOf("200"), readStatuses())
        }
    }

    @Nested
    inner class `given a stream that ends during a planned stop` {
        // Guards against LOST: callers kept their connections to an instance that had to refuse their next requests.
        @Test
        fun `its connection ends soon after it`() {
            limits.isStopping = true
            firstMayEnd.complete(Unit)
            send("GET /stream HTTP/1.1\nHost: h\n\n")
            assertEquals(listOf("200"), readStatuses())
        }
    }

    @Nested
    inner class `given more requests than are queued on a connection` {
        // Guards against DENIED and LOST: the ninth request behind another one was refused, and the next ones dropped.
        @Test
        fun `all are answered`() {
            val more = (2..13).joinToString("") { "GET /$it HTTP/1.1\nHost: h\n\n" }
            send("GET /slow HTTP/1.1\nHost: h\n\n${more}GET /14 HTTP/1.1\nHost: h\nConnection: close\n\n")
            waitUntil { server.queuedCount >= 8 }
            firstMayEnd.complete(Unit)
            assertEquals(List(14) { "200" }, readStatuses())
        }
    }

    @Nested
    inner class `given an answer that is aborted after it was complete` {
        // Guards against LOST: the next request on the connection was cut off.
        @Test
        fun `the request behind it is answered`() {
            send("GET /twice HTTP/1.1\nHost: h\n\nGET /second HTTP/1.1\nHost: h\nConnection: close\n\n")
            assertEquals("HTTP/1.1 200 OK", caller.getInputStream().readHead().first())
            waitUntil { server.isBusy }
            onLoop { firstMayEnd.complete(Unit) }
            onLoop { secondMayEnd.complete(Unit) }
            assertEquals(listOf("200"), readStatuses())
        }
    }

    @Nested
    inner class `given a caller that still sends when its answer is complete` {
        // Guards against LOST: bytes that were not read turned the end of the connection into a reset.
        @Test
        fun `the connection ends without a reset`() {
            send("POST /2 HTTP/1.1\nHost: h\nContent-Length: ${LARGE_BODY.length}\n\n$LARGE_BODY")
            assertEquals(listOf("413"), readStatuses())
        }
    }

    private companion object {
        /** More than the system buffers for a connection. */
        val LARGE_BODY = "x".repeat(16 * 1024 * 1024)
    }
}
