package org.nutmegspring.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.ReceiveChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.assertAll
import org.nutmegspring.time.systemMonotonicClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

// Guards against heads that a lenient reading turned into others: status 000.
class MalformedHeadSpec {
    /** A connection to an endpoint. Each character that it receives stands for a byte, and `\n` for the end of a line. */
    private class Connection {
        private val connection = EndpointConnection(systemMonotonicClock(), { }, { })
        private val channel = EmbeddedChannel().apply { pipeline().addAnswerHandlers(connection) }

        fun send(): ReceiveChannel<AnswerPart> {
            val parts = connection.send(HttpCall("POST", "/x")) { true }
            generateSequence { channel.readOutbound<Any>() }.forEach { ReferenceCountUtil.release(it) }
            return parts
        }

        fun receive(text: String, delivery: Delivery) {
            val bytes = text.replace("\n", "\r\n").toByteArray(Charsets.ISO_8859_1)
            val packets = if (delivery == Delivery.BYTE_BY_BYTE) bytes.map { byteArrayOf(it) } else listOf(bytes)
            packets.forEach { if (channel.isActive) channel.writeInbound(Unpooled.wrappedBuffer(it)) }
        }
    }

    /** How an answer arrives. */
    private enum class Delivery { ONE_PACKET, BYTE_BY_BYTE, AFTER_ANOTHER_ANSWER }

    /** Returns the parts of [answer], to a request whose connection stays open. */
    private fun read(answer: String, delivery: Delivery): List<AnswerPart> {
        val connection = Connection()
        if (delivery == Delivery.AFTER_ANOTHER_ANSWER) {
            connection.send()
            connection.receive("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 3\n\nold", delivery)
        }
        val parts = connection.send()
        connection.receive(answer, delivery)
        return generateSequence { parts.tryReceive().getOrNull() }.toList()
    }

    private fun describe(answer: String, delivery: Delivery, parts: List<AnswerPart>): String {
        val shown = answer.map { if (it in ' '..'~') "$it" else "\\%02x".format(it.code) }.joinToString("")
        return "$delivery of '$shown': $parts"
    }

    private fun assertEach(answers: List<String>, check: (List<AnswerPart>, String) -> Unit) = assertAll(
        answers.flatMap { answer ->
            Delivery.entries.map { delivery ->
                { read(answer, delivery).let { check(it, describe(answer, delivery, it)) } }
            }
        },
    )

    private fun assertUnreadable(answers: List<String>) = assertEach(answers) { parts, case ->
        assertIs<AnswerPart.Broken>(parts.singleOrNull(), case)
    }

    private fun assertRead(answers: List<String>) = assertEach(answers) { parts, case ->
        assertIs<AnswerPart.Head>(parts.firstOrNull(), case)
        assertIs<AnswerPart.End>(parts.last(), case)
        assertEquals(
            "abc",
            parts.filterIsInstance<AnswerPart.Body>().joinToString("") {
                it.bytes.decodeToString()
            },
            case,
        )
    }

    @Nested
    inner class `given an answer whose status line is none` {
        @Test
        fun `status 000 is unreadable at once`() =
            assertUnreadable(
                listOf("HTTP/1.1 000 \nContent-Length: 3\n\nabc", "HTTP/1.1 000\nConnection: close\n\nabc"),
            )

        @Test
        fun `a status beyond those of HTTP is unreadable at once`() =
            assertUnreadable(
                listOf("001", "020", "099", "600", "700", "999").map { "HTTP/1.1 $it Odd\nContent-Length: 3\n\nabc" },
            )

        @Test
        fun `a status that is not three digits is unreadable at once`() = assertUnreadable(
            listOf("0200", "00200", "+200", "-200", "20", "2", "2000", "2O0", "0x0", "200.0", "2e2", "²00").map {
                "HTTP/1.1 $it OK\nContent-Length: 3\n\nabc"
            },
        )

        @Test
        fun `a change of the protocol that was not asked for is unreadable`() =
            assertUnreadable(listOf("HTTP/1.1 101 Switching Protocols\nUpgrade: other\nConnection: upgrade\n\nabc"))

        @Test
        fun `a line of another form or version is unreadable`() = assertUnreadable(
            listOf(
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1\u000b200 OK",
                " HTTP/1.1 200 OK",
                "\u0000HTTP/1.1 200 OK",
                "ICY/1.0 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\rK",
            ).map { "$it\nContent-Length: 3\n\nabc" },
        )

        @Test
        fun `other answers are read`() = assertRead(
            listOf("200 OK", "200 ", "200", "299 Any reason at all", "404 Not Found", "599 Odd", "500 \u00e9").map {
                "HTTP/1.1 $it\nContent-Length: 3\n\nabc"
            } + "HTTP/1.1 103 Early Hints\nLink: </a>\n\nHTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
        )
    }
}
