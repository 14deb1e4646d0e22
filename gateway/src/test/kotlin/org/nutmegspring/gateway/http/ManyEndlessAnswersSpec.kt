package org.nutmegspring.gateway.http

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.time.systemMonotonicClock
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against processes that end by themselves: answers without end filled the heap, each below its own limit.
class ManyEndlessAnswersSpec {
    private val loop = EventLoop()
    private val memory = AnswerMemory(maximumBytes = 2L * MEBIBYTE)
    private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds, memory)
    private val written = AtomicLong()

    @AfterEach
    fun closeLoop() = loop.close()

    private val call get() = HttpCall("GET", "/x").also { it.headers.set("Host", "h") }

    private fun startEndlessServer() = ScriptedServer { _, socket ->
        socket.getInputStream().readHead()
        socket.getOutputStream().writeHttp("HTTP/1.1 200 OK\n\n")
        writeWithoutEnd(socket)
    }

    /** Stops after 64 MiB, so that a missing limit does not fill the heap. */
    private fun writeWithoutEnd(socket: Socket) = repeat(64) {
        socket.getOutputStream().write(ByteArray(MEBIBYTE))
        written.addAndGet(MEBIBYTE.toLong())
    }

    /** Waits until the server writes no more, since nothing is read or all was. */
    private suspend fun awaitStandstill() {
        var before = -1L
        while (written.get() != before || before == 0L) {
            before = written.get()
            delay(500.milliseconds)
        }
    }

    @Nested
    inner class `given a receiver that is behind` {
        @Test
        fun `an answer without end waits at the endpoint`() = startEndlessServer().use { server ->
            runBlocking {
                withContext(loop.dispatcher) {
                    checkNotNull(connections.open(server.address, call).getOrNull()).use { answer ->
                        assertIs<AnswerPart.Head>(answer.next())
                        awaitStandstill()
                        assertTrue(written.get() < 32L * MEBIBYTE, "${written.get()} bytes were taken")
                        repeat(32) { assertIs<AnswerPart.Body>(answer.next()) }
                    }
                }
            }
        }
    }

    @Nested
    inner class `given many answers without end at once` {
        @Test
        fun `all together hold at most the bound, and other answers are delivered`() {
            startEndlessServer().use { server ->
                val failures = runBlocking(loop.dispatcher) {
                    List(8) { async { readWhole(server.address) } }.awaitAll()
                }
                assertTrue(failures.any { "hold too many bytes" in it.orEmpty() }, "$failures")
                assertTrue(failures.none { it == null })
                assertEquals(0, memory.heldBytes)
            }
            val small = ScriptedServer { _, socket ->
                socket.getInputStream().readHead()
                socket.getOutputStream().writeHttp("HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
            }
            small.use { assertEquals(null, runBlocking(loop.dispatcher) { readWhole(it.address) }) }
        }

        private suspend fun readWhole(address: String): String? =
            checkNotNull(connections.open(address, call).getOrNull()).use {
                it.readWhole(address).fold({ failure -> failure.message }, { null })
            }
    }

    @Nested
    inner class `given a bound that is reached` {
        @Test
        fun `a small answer is held, and a large one is not`() {
            assertTrue(memory.tryChange(0, 2 * MEBIBYTE))
            assertTrue(memory.tryChange(0, AnswerMemory.SMALL_ANSWER_BYTES))
            assertEquals(false, memory.tryChange(0, AnswerMemory.SMALL_ANSWER_BYTES + 1))
            assertEquals(1, memory.refusedCount)
            assertTrue(memory.tryChange(2 * MEBIBYTE, 0))
            assertEquals(AnswerMemory.SMALL_ANSWER_BYTES.toLong(), memory.heldBytes)
        }
    }

    private companion object {
        const val MEBIBYTE = 1024 * 1024
    }
}
