package org.nutmegspring.gateway.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.time.systemMonotonicClock
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

// Guards against LOST: a request was cut off when the one before it on its connection ended late.
class ReusedConnectionSpec {
    private val loop = EventLoop()
    private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds)
    private val isFirstClosed = CountDownLatch(1)

    @AfterEach
    fun closeLoop() = loop.close()

    private suspend fun open(server: ScriptedServer): OpenAnswer {
        val call = HttpCall("GET", "/x").also { it.headers.set("Host", "h") }
        return checkNotNull(connections.open(server.address, call).getOrNull())
    }

    @Nested
    inner class `given a whole answer whose end was not read` {
        @Test
        fun `its reader may give up while its connection carries another request`() {
            val server = ScriptedServer { _, socket ->
                socket.getInputStream().readHead()
                socket.getOutputStream().writeHttp("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 1\n\na")
                socket.getInputStream().readHead()
                socket.getOutputStream().writeHttp("HTTP/1.1 200 OK\nContent-Length: 2\n\nb")
                isFirstClosed.await()
                socket.getOutputStream().writeHttp("b")
            }
            server.use {
                runBlocking {
                    withContext(loop.dispatcher) {
                        val first = open(it)
                        assertIs<AnswerPart.Head>(first.next())
                        val second = open(it)
                        assertIs<AnswerPart.Head>(second.next())
                        first.close()
                        isFirstClosed.countDown()
                        assertEquals("bb", second.readBody(it.address).getOrNull()?.decodeToString())
                        second.close()
                    }
                }
                assertEquals(1, it.connections)
            }
        }
    }
}
