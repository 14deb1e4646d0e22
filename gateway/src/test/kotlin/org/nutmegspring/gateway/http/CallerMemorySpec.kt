package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.memory.MemoryBounds
import org.nutmegspring.memory.MemoryBudget
import java.io.InputStream
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class CallerMemorySpec {
    private val loop = EventLoop()
    private val scope = CoroutineScope(loop.dispatcher + SupervisorJob())
    private val memory = CallerMemory(loop, MemoryBounds(60L * 1024 * 1024, maximumConnections = 4))
    private var largestUnwritten = 0L
    private val limits = object : ServerLimits {
        override val maximumBodyBytes: Int = BODY_BYTES
        override val requestTimeout: Duration = 30.seconds
        override val idleTimeout: Duration = 30.seconds
        override val isStopping: Boolean = false
    }
    private val handler = object : RequestHandler {
        override suspend fun handle(exchange: CallerExchange) {
            largestUnwritten = maxOf(largestUnwritten, exchange.unwrittenBytes)
            val call = exchange.call
            val text = "${call.body.size} ${call.isBodyDropped}".padEnd(if (call.method == "GET") ANSWER_BYTES else 0)
            exchange.respond(200, DefaultHttpHeaders(), text.encodeToByteArray())
        }

        override fun readsBody(target: String, headers: HttpHeaders) = target != "/dropped"
    }
    private val server = startHttpServer(memory, scope, "127.0.0.1:0", limits, 32_768, handler)
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        scope.cancel()
        loop.close()
    }

    private fun connect() = Socket("127.0.0.1", server.port).also {
        it.soTimeout = 20_000
        sockets += it
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun InputStream.readAnswer(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            head.append(
                read().also {
                    check(it >= 0) { "closed after '$head'" }
                }.toChar(),
            )
        }
        val length = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)!!.groupValues[1].toInt()
        return readNBytes(length).decodeToString()
    }

    private fun Socket.post(target: String, fields: String = ""): String {
        send("POST $target HTTP/1.1\r\nContent-Length: $BODY_BYTES\r\n$fields\r\n")
        getOutputStream().write(ByteArray(BODY_BYTES))
        return getInputStream().readAnswer()
    }

    private fun heldBytes() = runBlocking(loop.dispatcher) { memory.budget.heldBytes }

    @Nested
    inner class `given an idle process` {
        // Guards against a budget that a caller within the limits reaches.
        @Test
        fun `a request of the largest head and body is served, and nothing of it is kept`() {
            val socket = connect()
            repeat(3) { assertEquals("$BODY_BYTES false", socket.post("/", "a:b\r\n".repeat(3_200))) }
            assertEquals(MemoryBudget.CONNECTION_BYTES, heldBytes())
            socket.close()
            while (heldBytes() > 0) Thread.onSpinWait()
        }

        // Guards against bodies in memory that nobody asks for, and against one that is taken for an empty body.
        @Test
        fun `a body that is not asked for is dropped, and its handler knows it`() =
            assertEquals("0 true", connect().post("/dropped"))
    }

    @Nested
    inner class `given a caller that sends requests ahead and reads late` {
        // Guards against answers that fill the memory because nobody reads them.
        @Test
        fun `few answers wait, and all requests are answered in the end`() {
            val socket = connect()
            val sender = thread { repeat(REQUESTS) { socket.send("GET /$it HTTP/1.1\r\n\r\n") } }
            repeat(REQUESTS) { assertEquals("0 false", socket.getInputStream().readAnswer().trim()) }
            sender.join()
            assertTrue(largestUnwritten < 64 * 1024, "$largestUnwritten")
        }
    }

    @Nested
    inner class `given more connections than are allowed` {
        // Guards against a process without descriptors.
        @Test
        fun `those that never sent a request are closed, and the others serve on`() {
            val sound = connect().also { it.post("/") }
            repeat(20) { connect() }
            assertEquals("$BODY_BYTES false", connect().post("/"))
            assertEquals("$BODY_BYTES false", sound.post("/"))
            assertTrue(runBlocking(loop.dispatcher) { memory.budget.connectionCount } <= 4)
        }
    }

    private companion object {
        const val BODY_BYTES = 4 * 1024 * 1024
        const val ANSWER_BYTES = 10_000
        const val REQUESTS = 2_000
    }
}
