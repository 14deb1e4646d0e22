package org.nutmegspring.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.ReceiveChannel
import org.junit.jupiter.api.Nested
import org.nutmegspring.time.systemMonotonicClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

// Guards against TWICE and MIXED: bytes after an answer became the head of the next one on the same connection.
class LeftoverBytesSpec {
    private val refusal = "HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\nNote: busy\nContent-Length: 4\n\nbusy"
    private val success = "HTTP/1.1 200 OK\nRequest: 1\nContent-Length: 3\n\nold"
    private val interim = "HTTP/1.1 103 Early Hints\nLink: </a>\n\n"
    private val folded = "HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\n  "
    private val noise = "\n \nno answer: at all\n\n0\n"

    private enum class Moment { WITH_THE_ANSWER, WHILE_IDLE, AFTER_THE_NEXT_REQUEST, BESIDE_THE_NEXT_ANSWER }

    /** A connection on which request 1 was answered, followed by [leftover]; request 2 is then answered with 500. */
    private inner class Play(private val leftover: String, private val moment: Moment) {
        private var isPooled = false

        /** How often the connection was closed for bytes that belong to no request. */
        var strayBytes = 0
            private set
        private val connection = EndpointConnection(systemMonotonicClock(), { strayBytes++ }, { isPooled = true })
        private val channel = EmbeddedChannel().apply { pipeline().addAnswerHandlers(connection) }

        /** The parts that request 2 received, or null if the connection was not used for it. */
        val parts: List<AnswerPart>? = run()

        private fun run(): List<AnswerPart>? {
            send("1")
            receive(answer("1", "200 OK") + leftover.takeIf { moment == Moment.WITH_THE_ANSWER }.orEmpty())
            if (moment == Moment.WHILE_IDLE) receive(leftover)
            if (!isPooled || !connection.isUsable) return null
            val second = send("2")
            if (moment == Moment.AFTER_THE_NEXT_REQUEST) receive(leftover)
            receive(leftover.takeIf { moment == Moment.BESIDE_THE_NEXT_ANSWER }.orEmpty() + answer("2", "500 Broken"))
            return generateSequence { second.tryReceive().getOrNull() }.toList().also { channel.finishAndReleaseAll() }
        }

        private fun send(id: String): ReceiveChannel<AnswerPart> {
            val parts = connection.send(HttpCall("POST", "/x")) { it.getAll("Request") == listOf(id) }
            generateSequence { channel.readOutbound<Any>() }.forEach { ReferenceCountUtil.release(it) }
            return parts
        }

        private fun receive(text: String) {
            if (text.isEmpty() || !channel.isActive) return
            channel.writeInbound(Unpooled.wrappedBuffer(text.replace("\n", "\r\n").encodeToByteArray()))
        }

        private fun answer(id: String, status: String) =
            "HTTP/1.1 $status\nRequest: $id\nContent-Length: 8\nKeep-Alive: timeout=10\n\nanswer-$id"
    }

    private fun assertOwnAnswerOrNone(leftover: String, moment: Moment) {
        for (cut in 1..leftover.length) {
            val text = leftover.take(cut)
            val parts = Play(text, moment).parts ?: continue
            val description = "$moment, after '$text'"
            assertTrue(parts.isNotEmpty(), "$description: neither an answer nor a failure")
            for (head in parts.filterIsInstance<AnswerPart.Head>()) {
                assertEquals(500, head.status, description)
                assertTrue("Not-Executed" !in head.headers, description)
            }
            val body = parts.filterIsInstance<AnswerPart.Body>().joinToString("") { it.bytes.decodeToString() }
            assertTrue(body == "answer-2" || parts.last() !is AnswerPart.End, "$description: $body")
        }
    }

    @Nested
    inner class `given an answer that broke off at any byte on a connection that was kept` {
        @Test
        fun `a refusal never becomes the head of the next answer`() =
            Moment.entries.forEach { assertOwnAnswerOrNone(refusal, it) }

        @Test
        fun `a success never becomes the head of the next answer`() =
            Moment.entries.forEach { assertOwnAnswerOrNone(success, it) }

        @Test
        fun `an interim answer or a folded header never hides the next answer`() =
            Moment.entries.forEach { moment -> listOf(interim, folded).forEach { assertOwnAnswerOrNone(it, moment) } }

        @Test
        fun `bytes that are no answer never change the next one`() =
            Moment.entries.forEach { assertOwnAnswerOrNone(noise, it) }
    }

    @Nested
    inner class `given a connection on which nothing follows the answer` {
        @Test
        fun `it is kept, and carries the next request`() {
            val parts = checkNotNull(Play("", Moment.WITH_THE_ANSWER).parts)
            assertEquals(500, parts.filterIsInstance<AnswerPart.Head>().single().status)
            assertTrue(parts.last() is AnswerPart.End)
        }
    }

    @Nested
    inner class `given bytes on an idle connection` {
        @Test
        fun `it is closed and carries no further request`() {
            for (leftover in listOf(refusal, success, interim, noise)) {
                val play = Play(leftover.take(1), Moment.WHILE_IDLE)
                assertNull(play.parts, leftover)
                assertEquals(1, play.strayBytes, leftover)
            }
        }
    }
}
