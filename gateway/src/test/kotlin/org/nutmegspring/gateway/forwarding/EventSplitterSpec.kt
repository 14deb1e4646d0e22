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
}
