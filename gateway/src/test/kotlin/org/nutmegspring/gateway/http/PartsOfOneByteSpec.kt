package org.nutmegspring.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.time.systemMonotonicClock
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

// Guards against CONFIG: an answer in parts of one byte took all turns of the event loop, and no other one was handled.
class PartsOfOneByteSpec {
    @Nested
    inner class `given many chunks that are read at once` {
        private val connection = EndpointConnection(systemMonotonicClock(), { }, { })
        private val channel = EmbeddedChannel().apply { pipeline().addAnswerHandlers(connection) }
        private val answer = connection.send(HttpCall("GET", "/x")) { true }

        private fun receive(text: String) =
            channel.writeInbound(Unpooled.wrappedBuffer(text.replace("\n", "\r\n").encodeToByteArray()))

        private fun takeBody(): AnswerPart.Body =
            assertIs<AnswerPart.Body>(answer.tryReceive().getOrNull()).also { connection.recordTaken(answer, it) }

        @Test
        fun `the receiver takes them as one part`() {
            receive("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n" + "1\nx\n".repeat(CHUNKS))
            assertIs<AnswerPart.Head>(answer.tryReceive().getOrNull())
            assertEquals(CHUNKS, takeBody().size)
            assertTrue(answer.tryReceive().isFailure, "another part")
        }

        @Test
        fun `what arrives after a part was taken is in the next one`() {
            receive("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1\na\n1\nb\n")
            assertIs<AnswerPart.Head>(answer.tryReceive().getOrNull())
            assertEquals("ab", takeBody().bytes.decodeToString())
            receive("1\nc\n1\nd\n0\n\n")
            assertEquals("cd", takeBody().bytes.decodeToString())
            assertIs<AnswerPart.End>(answer.tryReceive().getOrNull())
        }

        @Test
        fun `reading pauses while they wait, and goes on once they were taken`() {
            receive("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n")
            repeat(32) { receive("1\nx\n".repeat(CHUNKS)) }
            assertEquals(false, channel.config().isAutoRead)
            assertIs<AnswerPart.Head>(answer.tryReceive().getOrNull())
            takeBody()
            assertEquals(true, channel.config().isAutoRead)
        }
    }

    @Nested
    inner class `given an answer without end` {
        private val loop = EventLoop()
        private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds)

        @AfterEach
        fun closeLoop() = loop.close()

        /** Work in one turn of the event loop. */
        private inner class Turn {
            var parts = 0
            var bytes = 0
        }

        private fun writeWithoutEnd(socket: Socket, head: String, endless: String) {
            socket.getInputStream().readHead()
            socket.getOutputStream().writeHttp(head)
            val bytes = endless.repeat(CHUNKS).replace("\n", "\r\n").encodeToByteArray()
            while (true) socket.getOutputStream().write(bytes)
        }

        /** Takes parts of the answer, and returns what was taken in each turn between those of another task. */
        private fun takeWithoutEnd(head: String, endless: String): List<Turn> {
            val turns = mutableListOf(Turn())
            val call = HttpCall("GET", "/x").also { it.headers.set("Host", "h") }
            ScriptedServer { _, socket -> writeWithoutEnd(socket, head, endless) }.use { server ->
                runBlocking(loop.dispatcher) {
                    val other = launch {
                        while (true) {
                            yield()
                            turns += Turn()
                        }
                    }
                    checkNotNull(connections.open(server.address, call).getOrNull()).use { answer ->
                        while (turns.sumOf { it.bytes } < TAKEN_BYTES) {
                            val part = answer.next()
                            if (part !is AnswerPart.Body) continue
                            turns.last().parts++
                            turns.last().bytes += part.size
                        }
                    }
                    other.cancel()
                }
            }
            return turns.filter { it.parts > 0 }
        }

        @Test
        fun `other tasks have their turn after few parts, whatever the size of the chunks`() {
            for (size in listOf(1, 100)) {
                val chunk = "${size.toString(16)}\n${"x".repeat(size)}\n"
                val turns = takeWithoutEnd("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", chunk)
                assertTrue(turns.all { it.parts <= MAXIMUM_PARTS }, "$size: ${turns.maxOf { it.parts }} parts")
                assertTrue(turns.all { it.bytes <= MAXIMUM_BYTES }, "$size: ${turns.maxOf { it.bytes }} bytes")
            }
        }

        @Test
        fun `other tasks have their turn after a bounded number of bytes of a body without chunks`() {
            val turns = takeWithoutEnd("HTTP/1.1 200 OK\n\n", "endless ")
            assertTrue(turns.all { it.bytes <= MAXIMUM_BYTES }, "${turns.maxOf { it.bytes }} bytes")
        }
    }

    private companion object {
        const val CHUNKS = 4096
        const val TAKEN_BYTES = 256 * 1024

        /** One that waited, and one that arrived with its receiver waiting. */
        const val MAXIMUM_PARTS = 2

        /** What may wait, and the reads of one turn. */
        const val MAXIMUM_BYTES = 128 * 1024
    }
}
