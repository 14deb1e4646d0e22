package org.nutmegspring.gateway.http

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.systemMonotonicClock
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EndpointConnectionsSpec {
    private val loop = EventLoop()
    private val clock = systemMonotonicClock()
    private var suspended = Duration.ZERO
    private val connections =
        EndpointConnections(loop, clock, 2.seconds, ages = AgeClock { clock.now() - it + suspended })

    @AfterEach
    fun closeLoop() = loop.close()

    private fun call(id: String) = HttpCall("GET", "/x").also { it.headers.set("Host", "h").set("Request", id) }

    private fun exchange(server: ScriptedServer, id: String = "1"): Either<Failure, HttpAnswer> = runBlocking {
        withContext(loop.dispatcher) { connections.exchange(server.address, call(id), 5.seconds) }
    }

    /** Sends a request with [id], expects an answer with the same `Request` header and returns its head. */
    private fun exchangeMatching(server: ScriptedServer, id: String): AnswerPart.Head = runBlocking {
        withContext(loop.dispatcher) {
            val opened = connections.open(server.address, call(id)) { it.get("Request") == id }
            val answer = checkNotNull(opened.getOrNull())
            val head = assertIs<AnswerPart.Head>(answer.next())
            while (answer.next() !is AnswerPart.End) Unit
            answer.close()
            head
        }
    }

    private fun Socket.answerRequest(answer: String) {
        getInputStream().readHead()
        getOutputStream().writeHttp(answer)
    }

    private fun completeAnswer(body: String, headers: String = "") =
        "HTTP/1.1 200 OK\n${headers}Content-Length: ${body.length}\n\n$body"

    @Nested
    inner class `given an endpoint that keeps connections open` {
        @Test
        fun `one connection carries several requests`() {
            ScriptedServer {
                _,
                socket,
                ->
                repeat(3) { socket.answerRequest(completeAnswer("ok", "Keep-Alive: timeout=10\n")) }
            }.use {
                repeat(3) { _ -> assertEquals("ok", exchange(it).getOrNull()?.body?.decodeToString()) }
                assertEquals(1, it.connections)
            }
        }

        @Test
        fun `a connection is not reused after a suspension that outlasts its idle time`() {
            ScriptedServer { _, socket -> socket.answerRequest(completeAnswer("ok", "Keep-Alive: timeout=10\n")) }.use {
                assertTrue(exchange(it).isRight())
                suspended = 10.seconds
                assertTrue(exchange(it).isRight())
                assertEquals(2, it.connections)
            }
        }

        @Test
        fun `a connection is not reused after an answer with 'Connection close'`() {
            ScriptedServer { _, socket -> socket.answerRequest(completeAnswer("ok", "Connection: close\n")) }.use {
                repeat(2) { _ -> assertTrue(exchange(it).isRight()) }
                assertEquals(2, it.connections)
            }
        }
    }

    @Nested
    inner class `given unexpected answers` {
        @Test
        fun `a late answer to an earlier request is skipped and the expected one is delivered`() {
            val server = ScriptedServer { _, socket ->
                socket.getInputStream().readHead()
                socket.getOutputStream().writeHttp(
                    completeAnswer("old", "Request: 0\n") + completeAnswer("new", "Request: 1\n"),
                )
            }
            server.use { assertEquals("1", exchangeMatching(it, "1").headers.get("Request")) }
        }

        @Test
        fun `a connection with bytes after a complete answer is not reused`() {
            val server = ScriptedServer { _, socket ->
                socket.answerRequest(completeAnswer("ok", "Keep-Alive: timeout=10\n") + completeAnswer("extra"))
                socket.getInputStream().readHead()
            }
            server.use {
                repeat(2) { _ -> assertEquals("ok", exchange(it).getOrNull()?.body?.decodeToString()) }
                assertEquals(2, it.connections)
            }
        }
    }

    // Guards against TWICE: a late copy of a refusal passed for the answer to the second sending of the request.
    @Nested
    inner class `given a connection that has carried an id` {
        /** Refuses the first request of a connection and repeats that refusal before the answer to the second one. */
        private fun refuseThenRepeat() = ScriptedServer { number, socket ->
            val refusal = completeAnswer("refused", "Request: 1\nKeep-Alive: timeout=10\n")
            if (number == 1) {
                socket.answerRequest(refusal)
                socket.answerRequest(refusal + completeAnswer("late", "Request: 1\n"))
            } else {
                socket.answerRequest(completeAnswer("own", "Request: 1\nKeep-Alive: timeout=10\n"))
            }
        }

        private suspend fun send(server: ScriptedServer, id: String): String? =
            connections.open(server.address, call(id), requestId = id) { it.get("Request") == id }.getOrNull()
                ?.use { answer -> answer.readWhole(server.address).getOrNull()?.body?.decodeToString() }

        private fun onLoop(block: suspend () -> Unit) = runBlocking { withContext(loop.dispatcher) { block() } }

        @Test
        fun `a second request with this id uses another connection`() = refuseThenRepeat().use {
            onLoop {
                assertEquals("refused", send(it, "1"))
                assertEquals("own", send(it, "1"))
            }
            assertEquals(2, it.connections)
        }

        @Test
        fun `requests with other ids use it, also after a request with this id did not`() {
            val usedFor = CopyOnWriteArrayList<Pair<Int, String>>()
            val server = ScriptedServer { number, socket ->
                while (true) {
                    val id = socket.getInputStream().readHead().first {
                        it.startsWith("Request: ")
                    }.substringAfter(": ")
                    usedFor += number to id
                    socket.getOutputStream().writeHttp(completeAnswer("", "Request: $id\nKeep-Alive: timeout=10\n"))
                }
            }
            server.use { onLoop { listOf("1", "1", "2", "1", "2").forEach { id -> send(server, id) } } }
            assertEquals(listOf(1 to "1", 2 to "1", 2 to "2", 3 to "1", 3 to "2"), usedFor.toList())
        }

        @Test
        fun `it is closed after a number of requests, so that their ids take a bounded space`() {
            val server = ScriptedServer { _, socket ->
                while (true) {
                    val id = socket.getInputStream().readHead().first { it.startsWith("Request: ") }
                    socket.getOutputStream().writeHttp(completeAnswer("", "$id\nKeep-Alive: timeout=10\n"))
                }
            }
            server.use {
                onLoop { repeat(257) { number -> assertEquals("", send(server, "$number")) } }
                assertEquals(2, it.connections)
            }
        }

        @Test
        fun `a call whose answer has no id does not use it if it may not`() = refuseThenRepeat().use {
            onLoop {
                assertEquals("refused", send(it, "1"))
                val answer = connections.exchange(it.address, call("none"), 5.seconds, mayReuse = false)
                assertEquals("own", answer.getOrNull()?.body?.decodeToString())
            }
        }
    }

    @Nested
    inner class `given incomplete or malformed answers` {
        private fun failure(script: (Socket) -> Unit): Failure =
            ScriptedServer { _, socket -> script(socket) }.use { checkNotNull(exchange(it).leftOrNull()) }

        @Test
        fun `a body shorter than its content length is a failure with unknown effect`() {
            val failure = failure {
                it.answerRequest("HTTP/1.1 200 OK\nContent-Length: 10\n\nshort")
                it.close()
            }
            assertEquals(Effect.UNKNOWN, failure.effect)
        }

        @Test
        fun `a chunked body without its last chunk is a failure`() {
            val failure = failure {
                it.answerRequest("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n3\nabc\n")
                it.close()
            }
            assertEquals(Effect.UNKNOWN, failure.effect)
        }

        @Test
        fun `bytes that are not an HTTP response are a failure`() {
            assertEquals(Effect.UNKNOWN, failure { it.answerRequest("garbage garbage garbage\n\n") }.effect)
        }

        @Test
        fun `a connection closed without an answer is a failure with unknown effect`() {
            val failure = failure {
                it.getInputStream().readHead()
                it.close()
            }
            assertEquals(Effect.UNKNOWN, failure.effect)
        }
    }

    @Nested
    inner class `given an answer without a content length` {
        @Test
        fun `it is complete when the endpoint closes the connection`() {
            val server = ScriptedServer { _, socket ->
                socket.answerRequest("HTTP/1.1 200 OK\n\nall of it")
                socket.close()
            }
            server.use { assertEquals("all of it", exchange(it).getOrNull()?.body?.decodeToString()) }
        }

        @Test
        fun `it is not complete when the connection is reset`() {
            val server = ScriptedServer { _, socket ->
                socket.answerRequest("HTTP/1.1 200 OK\n\npart of it")
                socket.setSoLinger(true, 0)
                socket.close()
            }
            server.use { assertTrue(exchange(it).isLeft()) }
        }
    }

    @Nested
    inner class `when the connection is refused` {
        @Test
        fun `the failure has the effect NOT_RUN`() {
            val unused = ServerSocket(0).use { it.localPort }
            val failed = runBlocking {
                withContext(loop.dispatcher) { connections.exchange("127.0.0.1:$unused", call("1"), 5.seconds) }
            }
            assertEquals(Effect.NOT_RUN, failed.leftOrNull()?.effect)
        }
    }

    @Nested
    inner class `when an incomplete answer is closed` {
        @Test
        fun `the connection to the endpoint is closed`() {
            val closed = CountDownLatch(1)
            val server = ScriptedServer { _, socket ->
                socket.answerRequest("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n3\nabc\n")
                if (socket.getInputStream().read() < 0) closed.countDown()
            }
            server.use {
                runBlocking {
                    withContext(loop.dispatcher) {
                        val answer = checkNotNull(connections.open(it.address, call("1")).getOrNull())
                        assertIs<AnswerPart.Head>(answer.next())
                        answer.close()
                    }
                }
                assertTrue(closed.await(10, TimeUnit.SECONDS))
            }
        }
    }
}
