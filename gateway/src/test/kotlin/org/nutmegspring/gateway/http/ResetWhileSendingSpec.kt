package org.nutmegspring.gateway.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
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

    /** How an endpoint ends a connection on which it has read the head of a request only. */
    enum class Ending { RESET, CLOSE, HALF_CLOSE_AND_RESET }

    private fun Socket.answerAtOnce(answer: ByteArray, ending: Ending, isEnded: CountDownLatch) {
        getInputStream().readHead()
        getOutputStream().write(answer)
        if (ending == Ending.HALF_CLOSE_AND_RESET) shutdownOutput()
        if (ending != Ending.CLOSE) setSoLinger(true, 0)
        close()
        isEnded.countDown()
    }

    /** Returns the last part of an answer without a length, read at once or only [afterTheEnd] of its connection. */
    private fun readLastPart(body: ByteArray, ending: Ending, afterTheEnd: Boolean): AnswerPart {
        val isEnded = CountDownLatch(1)
        val answer = "HTTP/1.1 200 OK\r\n\r\n".encodeToByteArray() + body
        return ScriptedServer { _, socket -> socket.answerAtOnce(answer, ending, isEnded) }.use { server ->
            runBlocking {
                withContext(loop.dispatcher) {
                    val long = HttpCall("POST", "/x", body = ByteArray(LONG_BODY_BYTES))
                    val opened = checkNotNull(connections.open(server.address, long).getOrNull())
                    if (afterTheEnd) withContext(Dispatchers.IO) { isEnded.await(5, TimeUnit.SECONDS) }
                    var part = opened.next()
                    while (part is AnswerPart.Head || part is AnswerPart.Body) part = opened.next()
                    part.also { opened.close() }
                }
            }
        }
    }

    @Nested
    inner class `when an endpoint answers a long request at once and ends the connection` {
        @ParameterizedTest
        @EnumSource(Ending::class)
        fun `an answer without length and chunks is not whole`(ending: Ending) = repeat(PLAYS) {
            assertIs<AnswerPart.Broken>(readLastPart(ByteArray(5), ending, afterTheEnd = false))
        }

        @ParameterizedTest
        @EnumSource(Ending::class)
        fun `an answer whose reading had paused is not whole`(ending: Ending) = repeat(PLAYS) {
            assertIs<AnswerPart.Broken>(readLastPart(ByteArray(PAUSING_BODY_BYTES), ending, afterTheEnd = true))
        }
    }

    private companion object {
        /** The order in which a reset reaches the writer and the reader of a connection is left to chance. */
        const val PLAYS = 20

        /** Reading pauses below this size, and the buffers of a connection hold all of it. */
        const val PAUSING_BODY_BYTES = 100 * 1024

        /** More than the buffers of a connection hold. */
        const val LONG_BODY_BYTES = 32 * 1024 * 1024
    }
}
