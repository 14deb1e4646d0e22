package org.nutmegspring.gateway.forwarding

/** One event of a stream with its closing empty line. [id] is null for an event without one. */
class StreamEvent(val bytes: ByteArray, val id: String?)

/** Splits the body of an event stream into whole events and buffers a partial event until the rest arrives. */
class EventSplitter {
    private var pending = ByteArray(0)

    /** The number of whole events so far. */
    var count = 0
        private set

    /** Whether a partial event is buffered. */
    val hasPartialEvent: Boolean get() = pending.isNotEmpty()

    /** The size of the partial event. */
    val pendingBytes: Int get() = pending.size

    /** Whether the partial event is larger than any event that an engine in order sends. */
    val isTooLarge: Boolean get() = pending.size > MAXIMUM_EVENT_BYTES

    /** Returns the events that [bytes] complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val all = if (pending.isEmpty()) bytes else pending + bytes
        val events = mutableListOf<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end >= 0) {
            val event = all.copyOfRange(start, end)
            events += StreamEvent(event, idOf(event))
            start = end
            end = endOfEvent(all, start)
        }
        count += events.size
        pending = if (start == 0) all else all.copyOfRange(start, all.size)
        return events
    }

    private fun endOfEvent(bytes: ByteArray, from: Int): Int {
        var index = from
        while (index < bytes.size) {
            if (bytes[index] == LINE_FEED) {
                val next = if (index + 1 < bytes.size && bytes[index + 1] == CARRIAGE_RETURN) index + 2 else index + 1
                if (next < bytes.size && bytes[next] == LINE_FEED) return next + 1
            }
            index++
        }
        return -1
    }

    private fun idOf(event: ByteArray): String? = event.decodeToString()
        .lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val MAXIMUM_EVENT_BYTES = 1024 * 1024
    }
}
