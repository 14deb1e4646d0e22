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

    /** Returns those of [heads], with `\n` for the end of a line and a character for a byte, that count as an answer. */
    private fun findRead(heads: List<String>): List<String> = heads.filter { head ->
        val bytes = "$head\n\nabc".replace("\n", "\r\n").toByteArray(Charsets.ISO_8859_1)
        endpoint.server.answerWith(listOf(bytes))
        runBlocking { endpoint.callService() } != null
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
}
