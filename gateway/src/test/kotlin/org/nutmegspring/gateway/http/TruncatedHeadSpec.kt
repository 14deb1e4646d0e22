package org.nutmegspring.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.assertAll
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.nutmegspring.time.systemMonotonicClock
import java.io.IOException
import java.net.Socket
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

// Guards against MIXED and ORDER: an answer that was cut off within its head was delivered as whole.
class TruncatedHeadSpec {
    private val loop = EventLoop()
    private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds)

    @AfterEach
    fun closeLoop() = loop.close()

    /** An answer to a request with [method]. [content] is its body without the marks of chunks. */
    enum class Answer(
        head: String,
        body: String = "",
        val content: String = body,
        val isEndedByClose: Boolean = false,
        val method: String = "GET",
    ) {
        LENGTH("HTTP/1.1 200 OK\nRequest: 1\nContent-Length: 4\n\n", "body"),
        CHUNKS("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", "4\nbody\n0\nChecksum: 1\n\n", "body"),
        CLOSE("HTTP/1.1 200 OK\nRequest: 1\n\n", "body", isEndedByClose = true),
        EMPTY("HTTP/1.1 200 OK\nContent-Length: 0\n\n"),
        NO_CONTENT("HTTP/1.1 204 No Content\nRequest: 1\n\n"),
        NOT_MODIFIED("HTTP/1.1 304 Not Modified\nContent-Length: 4\n\n"),
        INTERIM(
            "HTTP/1.1 103 Early Hints\nLink: </a>\n\nHTTP/1.1 200 OK\nRequest: 1\n\n",
            "body",
            isEndedByClose = true,
        ),
        FAILURE("HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\nContent-Length: 4\n\n", "busy"),
        HEAD_LENGTH("HTTP/1.1 200 OK\nRequest: 1\nContent-Length: 4\n\n", method = "HEAD"),
        HEAD_CHUNKS("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", method = "HEAD"),
        HEAD_CLOSE("HTTP/1.1 200 OK\nRequest: 1\n\n", method = "HEAD"),
        ;

        val headLength = head.replace("\n", LINE_END).length
        val bytes = (head + body).replace("\n", LINE_END).encodeToByteArray()
    }

    /** How an answer arrives. */
    enum class Delivery { NEW_CONNECTION, KEPT_CONNECTION, BYTE_BY_BYTE }

    private inner class Case(val answer: Answer, val length: Int, val isReset: Boolean) {
        private val isWhole =
            if (answer.isEndedByClose) length >= answer.headLength && !isReset else length == answer.bytes.size
        private val content =
            if (answer.isEndedByClose) answer.content.take(maxOf(0, length - answer.headLength)) else answer.content
        private val call = HttpCall(answer.method, "/x").also { it.headers.set("Host", "h") }

        fun check(delivery: Delivery) {
            val parts = if (delivery == Delivery.BYTE_BY_BYTE) receiveByteByByte() else receive(delivery)
            val case = "$answer, $length of ${answer.bytes.size} bytes, ${if (isReset) "reset" else "closed"}"
            val last = parts.last()
            if (length < answer.headLength) assertEquals(1, parts.size, "$case: $parts")
            if (last is AnswerPart.End) {
                assertTrue(isWhole, "$case: $parts")
                val body = parts.filterIsInstance<AnswerPart.Body>().joinToString("") { it.bytes.decodeToString() }
                assertEquals(content, body, case)
            } else {
                // A reset may destroy the last bytes.
                assertTrue(!isWhole || isReset, "$case: $last")
                assertTrue(assertIs<AnswerPart.Broken>(last, case).isDisconnect, "$case: $last")
            }
        }

        private fun receive(delivery: Delivery): List<AnswerPart> = runBlocking {
            withContext(loop.dispatcher) {
                val isKept = delivery == Delivery.KEPT_CONNECTION
                if (isKept) readParts(HttpCall("GET", "/first"), mayReuse = false)
                val opened = connections.openedCount
                readParts(call, mayReuse = isKept).also {
                    assertEquals(if (isKept) opened else opened + 1, connections.openedCount, "connections")
                }
            }
        }

        private suspend fun readParts(call: HttpCall, mayReuse: Boolean): List<AnswerPart> {
            val opened = checkNotNull(connections.open(server.address, call, mayReuse).getOrNull())
            val parts = mutableListOf(opened.next())
            while (parts.last() !is AnswerPart.End && parts.last() !is AnswerPart.Broken) parts += opened.next()
            opened.close()
            return parts
        }

        private fun receiveByteByByte(): List<AnswerPart> {
            val connection = EndpointConnection(systemMonotonicClock(), { }, { })
            val channel = EmbeddedChannel().apply { pipeline().addAnswerHandlers(connection) }
            val parts = connection.send(call) { true }
            generateSequence { channel.readOutbound<Any>() }.forEach { ReferenceCountUtil.release(it) }
            for (byte in answer.bytes.take(length)) {
                if (channel.isActive) channel.writeInbound(Unpooled.wrappedBuffer(byteArrayOf(byte)))
            }
            if (isReset) channel.pipeline().fireExceptionCaught(IOException("Connection reset"))
            channel.close()
            return generateSequence { parts.tryReceive().getOrNull() }.toList()
        }

        fun serve(socket: Socket) {
            while (true) {
                val request = socket.getInputStream().readHead().firstOrNull() ?: return
                if ("/first" !in request) break
                socket.getOutputStream().writeHttp("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 0\n\n")
            }
            socket.getOutputStream().write(answer.bytes, 0, length)
            if (isReset) socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    private lateinit var current: Case
    private val server = ScriptedServer { _, socket -> current.serve(socket) }

    @AfterEach
    fun closeServer() = server.close()

    private fun checkAll(delivery: Delivery) {
        val checks = mutableListOf<() -> Unit>()
        for (answer in Answer.entries) {
            for (length in 0..answer.bytes.size) {
                for (isReset in listOf(false, true)) {
                    checks += {
                        current = Case(answer, length, isReset)
                        current.check(delivery)
                    }
                }
            }
        }
        assertAll(checks)
    }

    @Nested
    inner class `given an answer that is cut off at any byte by a close or a reset` {
        @ParameterizedTest
        @EnumSource(Delivery::class)
        fun `it is whole, or broken by the endpoint`(delivery: Delivery) = checkAll(delivery)
    }

    private companion object {
        const val LINE_END = "\r\n"
    }
}
