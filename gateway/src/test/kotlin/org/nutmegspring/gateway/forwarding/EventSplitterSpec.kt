package org.nutmegspring.gateway.forwarding

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventSplitterSpec {
    private val splitter = EventSplitter()

    private fun add(text: String) = splitter.add(text.encodeToByteArray()).map { it.bytes.decodeToString() to it.id }

    @Nested
    inner class `given whole events` {
        @Test
        fun `each is returned with its id`() {
            assertEquals(
                listOf("id: 1\ndata: a\n\n" to "1", "id: 2\ndata: b\n\n" to "2"),
                add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
            )
            assertFalse(splitter.hasPartialEvent)
        }

        @Test
        fun `lines may end with a carriage return as well`() {
            assertEquals(listOf("id: 1\r\ndata: a\r\n\r\n" to "1"), add("id: 1\r\ndata: a\r\n\r\n"))
        }

        @Test
        fun `an event without an id has none`() {
            assertEquals(listOf("data: a\n\n" to null), add("data: a\n\n"))
        }
    }

    /** Guards against CONFIG: the work for an event grew with the square of the number of its parts. */
    @Nested
    inner class `given parts of one byte` {
        private fun addInSingleBytes(text: ByteArray) = text.sumOf { splitter.add(byteArrayOf(it)).size }

        private fun assertIsLinear(bytes: Int) =
            assertTrue(splitter.processedBytes <= 8L * bytes, "${splitter.processedBytes} for $bytes bytes")

        @Test
        fun `an event without an end takes work in proportion to its bytes`() {
            assertEquals(0, addInSingleBytes(ByteArray(ENDLESS_BYTES) { 'x'.code.toByte() }))
            assertIsLinear(ENDLESS_BYTES)
            assertTrue(splitter.heldBytes <= 2 * ENDLESS_BYTES)
        }

        @Test
        fun `lines without an empty line take work in proportion to their bytes`() {
            for (line in listOf(":\n", ":\r\n", "data: x\n")) {
                val splitter = EventSplitter()
                val bytes = line.repeat(ENDLESS_BYTES / line.length).encodeToByteArray()
                bytes.forEach { splitter.add(byteArrayOf(it)) }
                assertTrue(splitter.hasPartialEvent)
                assertTrue(splitter.processedBytes <= 8L * bytes.size, "${splitter.processedBytes} for ${bytes.size}")
            }
        }

        @Test
        fun `whole events of two bytes take work in proportion to their bytes`() {
            assertEquals(ENDLESS_BYTES / 2, addInSingleBytes("\n\n".repeat(ENDLESS_BYTES / 2).encodeToByteArray()))
            assertIsLinear(ENDLESS_BYTES)
        }

        @Test
        fun `events are the same as in one piece`() {
            val text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n\n\n"
            val single = text.encodeToByteArray().flatMap { splitter.add(byteArrayOf(it)) }
            val whole = EventSplitter().add(text.encodeToByteArray())
            assertEquals(
                whole.map { it.bytes.decodeToString() to it.id },
                single.map {
                    it.bytes.decodeToString() to
                        it.id
                },
            )
            assertEquals(3, whole.size)
            assertFalse(splitter.hasPartialEvent)
        }
    }

    @Nested
    inner class `given events in pieces` {
        @Test
        fun `nothing is returned before the closing empty line, wherever the pieces are cut`() {
            val text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
            for (cut in 1 until text.length) {
                val pieces = EventSplitter()
                val events = pieces.add(text.substring(0, cut).encodeToByteArray()) +
                    pieces.add(text.substring(cut).encodeToByteArray())
                assertEquals(listOf("1", "2"), events.map { it.id }, "cut at $cut")
                assertEquals(text, events.joinToString("") { it.bytes.decodeToString() }, "cut at $cut")
            }
        }

        @Test
        fun `a partial event is reported`() {
            add("id: 1\ndata: a\n\nid: 2\nda")
            assertTrue(splitter.hasPartialEvent)
        }
    }

    private companion object {
        const val ENDLESS_BYTES = 64 * 1024
    }
}
