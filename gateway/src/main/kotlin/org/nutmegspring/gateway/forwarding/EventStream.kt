package org.nutmegspring.gateway.forwarding

/** One event of a stream with its closing empty line. [id] is null for an event without one. */
class StreamEvent(val bytes: ByteArray, val id: String?)

/**
 * Splits the body of an event stream into whole events and buffers a partial event until the rest arrives.
 *
 * The work for a byte does not depend on the size of the parts in which it arrives, nor on what is buffered.
 */
class EventSplitter {
    private var buffer = ByteArray(0)

    /** The number of bytes of [buffer] that are used, and how many of them can't be part of the next empty line. */
    private var size = 0
    private var searched = 0

    /** The number of whole events so far. */
    var count = 0
        private set

    /** The number of bytes that were examined or copied so far. */
    internal var processedBytes = 0L
        private set

    /** Whether a partial event is buffered. */
    val hasPartialEvent: Boolean get() = size > 0

    /** The size of the buffer. */
    val heldBytes: Int get() = buffer.size

    /** Whether the partial event is larger than any event that an engine in order sends. */
    val isTooLarge: Boolean get() = size > MAXIMUM_EVENT_BYTES

    /** Returns the events that [bytes] complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        append(bytes)
        val events = mutableListOf<StreamEvent>()
        var start = 0
        while (true) {
            val end = findEndOfEvent()
            if (end < 0) break
            val event = buffer.copyOfRange(start, end)
            processedBytes += event.size
            events += StreamEvent(event, idOf(event))
            start = end
        }
        count += events.size
        discard(start)
        return events
    }

    private fun append(bytes: ByteArray) {
        val wanted = size + bytes.size
        if (wanted > buffer.size) resize(maxOf(wanted, buffer.size * 2))
        bytes.copyInto(buffer, size)
        processedBytes += bytes.size
        size = wanted
    }

    private fun resize(capacity: Int) {
        buffer = buffer.copyInto(ByteArray(capacity), 0, 0, size)
        processedBytes += size
    }

    /** Removes the first [count] bytes. A large buffer is released once it is empty. */
    private fun discard(count: Int) {
        if (count == 0) return
        buffer.copyInto(buffer, 0, count, size)
        size -= count
        searched -= count
        processedBytes += size
        if (size == 0 && buffer.size > MAXIMUM_KEPT_BYTES) buffer = ByteArray(0)
    }

    /** Returns the end of the next empty line, or -1. Goes on where the previous search ended. */
    private fun findEndOfEvent(): Int {
        while (searched < size) {
            processedBytes++
            if (buffer[searched] == LINE_FEED) {
                val hasCarriageReturn = searched + 1 < size && buffer[searched + 1] == CARRIAGE_RETURN
                val next = if (hasCarriageReturn) searched + 2 else searched + 1
                if (next >= size) return -1
                if (buffer[next] == LINE_FEED) {
                    searched = next + 1
                    return searched
                }
            }
            searched++
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

        /** More than usual events. */
        const val MAXIMUM_KEPT_BYTES = 16 * 1024
    }
}
