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

// Guards against heads that a lenient reading turned into others: status 000, and names of fields that end at a blank.
class MalformedHeadSpec {
    /** A connection to an endpoint. A character that it receives stands for a byte, and `\n` for the end of a line. */
    private class ByteConnection {
        private val handler = EndpointConnection(systemMonotonicClock(), { }, { })
        private val channel = EmbeddedChannel().apply { pipeline().addAnswerHandlers(handler) }

        fun send(): ReceiveChannel<AnswerPart> {
            val parts = handler.send(HttpCall("POST", "/x")) { true }
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
        val connection = ByteConnection()
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

    /** Returns answers with [field] as the first, a middle and the last line of their heads. */
    private fun answersWith(field: String, framing: String = "Content-Length: 3"): List<String> {
        val others = listOf(framing, "Request: 1").filter { it.isNotEmpty() }
        return (0..others.size).map { place ->
            val lines = others.take(place) + field + others.drop(place)
            "HTTP/1.1 200 OK\n${lines.joinToString("\n")}\n\nabc"
        }
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

    @Nested
    inner class `given an answer with a line that is no field` {
        @Test
        fun `a name with a blank or a tab is unreadable`() = assertUnreadable(
            listOf("Note : 1", "Note\t: 1", "No te: 1", "Note x: 1", "No\tte: 1", "Note 1", " Note: 1", "\tNote: 1")
                .flatMap { answersWith(it) },
        )

        @Test
        fun `a name with another byte that no name has is unreadable`() = assertUnreadable(
            listOf(
                "\u0000",
                "\u0001",
                "\u001f",
                "\u007f",
                "\u0080",
                "\u00e9",
                "(",
                "\"",
                ",",
                "/",
                ";",
                "=",
                "@",
                "[",
                "{",
            )
                .flatMap { byte -> listOf("No${byte}te: 1", "${byte}Note: 1", "Note$byte: 1") }
                .flatMap { answersWith(it) },
        )

        @Test
        fun `a line without a name or a colon is unreadable`() =
            assertUnreadable(listOf(": 1", ":", "Note", "1").flatMap { answersWith(it) })

        @Test
        fun `a value with a control byte is unreadable`() = assertUnreadable(
            listOf("\u0000", "\u0001", "\u000b", "\u000c", "\r", "\u001f", "\u007f").flatMap {
                answersWith("Note: a${it}b")
            },
        )

        @Test
        fun `a name that is lenient for that of the framing is unreadable`() = assertUnreadable(
            listOf(
                "Content-Length : 2",
                "Content-Length x: 2",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding x: chunked",
                "Connection : close",
                "Content-Length\u0000: 2",
            ).flatMap { answersWith(it) + answersWith(it, framing = "") },
        )

        @Test
        fun `other fields are read`() = assertRead(
            listOf(
                "Note:",
                "Note: ",
                "Note:1",
                "Note: a b\tc \t",
                "!#$%&'*+-.^_`|~09azAZ: 1",
                "Note: \u00e9\u00ff",
                "a: :",
            )
                .flatMap { answersWith(it) },
        )
    }

    @Nested
    inner class `given an answer whose end is stated in two ways` {
        @Test
        fun `two lengths or a length that is no number are unreadable`() = assertUnreadable(
            listOf("2", "+3", "-3", "3a", "", "3, 2", "0x3", "3 3").map { "Content-Length: $it" }
                .flatMap { if (it.endsWith(" 2")) answersWith(it) else answersWith(it, framing = "") },
        )

        @Test
        fun `a length beside chunks is unreadable`() = assertUnreadable(
            answersWith("Transfer-Encoding: chunked").map { it.removeSuffix("abc") + "3\nabc\n0\n\n" },
        )

        @Test
        fun `an encoding of the body other than chunks is unreadable`() = assertUnreadable(
            listOf("gzip, chunked", "chunked, chunked", "identity", "gzip", "xchunked", "chunked;a=b", "").flatMap {
                answersWith("Transfer-Encoding: $it", framing = "").map { head ->
                    head.removeSuffix("abc") + "3\nabc\n0\n\n"
                }
            },
        )
    }

    @Nested
    inner class `given an odd line after the chunks` {
        private val head = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n3\nabc\n0\n"

        @Test
        fun `the body is not changed by it`() = assertEach(
            listOf("Note : 1", "No te: 1", "No\u0001te: 1", "Content-Length: 2", "Content-Length x: 2", ": 1", "Note")
                .map { "$head$it\n\n" },
        ) { parts, case ->
            val body = parts.filterIsInstance<AnswerPart.Body>().joinToString("") { it.bytes.decodeToString() }
            if (parts.last() !is AnswerPart.Broken) assertEquals("abc", body, case)
            assertEquals(0, parts.filterIsInstance<AnswerPart.Head>().count { "Note" in it.headers }, case)
        }
    }
}
