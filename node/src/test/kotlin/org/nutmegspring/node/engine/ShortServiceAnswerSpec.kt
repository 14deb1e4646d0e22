package org.nutmegspring.node.engine

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Answers of plain services that end early. */
class ShortServiceAnswerSpec {
    private val service = ClosingService()

    @AfterEach
    fun close() = service.close()

    @Nested
    inner class `given an answer whose connection is closed` {
        @Test
        fun `one that is as long as its length is whole`() {
            assertEquals("confirmed", service.call("HTTP/1.1 200 OK\nContent-Length: 9\n\nconfirmed"))
        }

        @Test
        fun `one that is shorter than its length is a failure`() {
            assertEquals(null, service.call("HTTP/1.1 200 OK\nContent-Length: 10\n\nconfirmed"))
        }

        @Test
        fun `one that has neither a length nor chunks ends with the connection`() {
            assertEquals("confirmed", service.call("HTTP/1.1 200 OK\nConnection: close\n\nconfirmed"))
        }
    }
}
