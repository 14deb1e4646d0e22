package org.nutmegspring.node.engine

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards `serve` against heads that a lenient reading turned into others.
class MalformedServiceAnswerSpec {
    private val endpoint = TestEndpoint()

    @AfterEach
    fun close() = endpoint.close()

    /** Returns those of [heads] that count as an answer. `\n` stands for the end of a line, a character for a byte. */
    private fun findRead(heads: List<String>): List<String> = heads.filter { head ->
        val bytes = "$head\n\nabc".replace("\n", "\r\n").toByteArray(Charsets.ISO_8859_1)
        endpoint.server.answerWith(listOf(bytes))
        runBlocking { endpoint.callService() } != null
    }

    /** Returns heads with [field] as the first, a middle and the last line. */
    private fun headsWith(field: String): List<String> {
        val others = listOf("X-Request-Id: r", "Content-Length: 3")
        return (0..others.size).map { place ->
            (listOf("HTTP/1.1 200 OK") + others.take(place) + field + others.drop(place)).joinToString("\n")
        }
    }

    @Nested
    inner class `given an answer whose status line is none` {
        @Test
        fun `a status that HTTP does not have is a failure`() = assertEquals(
            emptyList(),
            findRead(
                listOf("000", "001", "099", "600", "999", "0200", "+200", "20", "2000", "2O0", "101").map {
                    "HTTP/1.1 $it Odd\nX-Request-Id: r\nContent-Length: 3"
                },
            ),
        )

        @Test
        fun `a line of another form or version is a failure`() = assertEquals(
            emptyList(),
            findRead(
                listOf(
                    "HTTP/2.0 200 OK",
                    "ICY/1.0 200 OK",
                    "HTTP/1.1  200 OK",
                    " HTTP/1.1 200 OK",
                    "HTTP/1.1 200 O\u0000K",
                )
                    .map { "$it\nX-Request-Id: r\nContent-Length: 3" },
            ),
        )
    }

    @Nested
    inner class `given an answer with a line that is no field` {
        @Test
        fun `a name that holds a blank or another byte that no name has is a failure`() = assertEquals(
            emptyList(),
            findRead(
                listOf(" ", "\t", "\u0000", "\u0001", "\u007f", "\u00e9", "(", "/", "@")
                    .flatMap { listOf("No${it}te: 1", "Note$it: 1", "${it}Note: 1") }.flatMap(::headsWith),
            ),
        )

        @Test
        fun `a line without a name or a colon is a failure`() =
            assertEquals(emptyList(), findRead(listOf(": 1", "Note", "Note 1").flatMap(::headsWith)))

        @Test
        fun `a value with a control byte is a failure`() = assertEquals(
            emptyList(),
            findRead(listOf("\u0000", "\u0001", "\u000b", "\r", "\u007f").flatMap { headsWith("Note: a${it}b") }),
        )

        @Test
        fun `a name that is lenient for that of the framing is a failure`() = assertEquals(
            emptyList(),
            findRead(
                listOf(
                    "Content-Length : 2",
                    "Content-Length x: 2",
                    "Transfer-Encoding : chunked",
                    "Connection x: close",
                )
                    .flatMap(::headsWith),
            ),
        )

        @Test
        fun `other fields are read`() {
            val heads = listOf("Note:", "Note: a b\tc", "!#$%&'*+-.^_`|~09azAZ: 1", "Note: \u00e9").flatMap(::headsWith)
            assertEquals(heads, findRead(heads))
        }
    }

    @Nested
    inner class `given an answer whose end is stated in two ways` {
        @Test
        fun `a length beside chunks or another length is a failure`() = assertEquals(
            emptyList(),
            findRead(listOf("Content-Length: 2", "Transfer-Encoding: chunked").flatMap(::headsWith)),
        )
    }
}
