package org.nutmegspring.gateway.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.time.systemMonotonicClock
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Endpoints that answer before they have read the whole request, and then reset the connection. */
class ResetWhileSendingSpec {
    private val loop = EventLoop()
    private val connections = EndpointConnections(loop, systemMonotonicClock(), 2.seconds)

    @AfterEach
    fun closeLoop() = loop.close()

    /** Reads the answer to a long request until the server has reset the connection, and returns its last part. */
    private fun readLastPart(answer: String): AnswerPart {
        val isRead = CountDownLatch(1)
        return ScriptedServer { _, socket -> socket.answerAndReset(answer, isRead) }.use { server ->
            runBlocking {
                withContext(loop.dispatcher) {
                    val long = HttpCall("POST", "/x", body = ByteArray(LONG_BODY_BYTES))
                    val opened = checkNotNull(connections.open(server.address, long).getOrNull())
                    assertIs<AnswerPart.Head>(opened.next())
                    assertIs<AnswerPart.Body>(opened.next())
                    isRead.countDown()
                    opened.next().also { opened.close() }
                }
            }
        }
    }

    private fun Socket.answerAndReset(answer: String, isRead: CountDownLatch) {
        getInputStream().readHead()
        getOutputStream().writeHttp(answer)
        isRead.await(5, TimeUnit.SECONDS)
        setSoLinger(true, 0)
        close()
    }

    @Nested
    inner class `when the connection is reset while the request is still being sent` {
        @Test
        fun `an answer without length and chunks is not whole`() {
            assertIs<AnswerPart.Broken>(readLastPart("HTTP/1.1 200 OK\n\nfirst"))
        }

        @Test
        fun `an answer in chunks without the last one is not whole`() {
            assertIs<AnswerPart.Broken>(readLastPart("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nfirst\n"))
        }

        @Test
        fun `an answer short of its length is not whole`() {
            assertIs<AnswerPart.Broken>(readLastPart("HTTP/1.1 200 OK\nContent-Length: 6\n\nfirst"))
        }
    }

    private companion object {
        /** More than the buffers of a connection hold. */
        const val LONG_BODY_BYTES = 32 * 1024 * 1024
    }
}
