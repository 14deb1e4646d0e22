package org.nutmegspring.protocol

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.atomic.AtomicReference

/** A frame queued for writing. Either the writer starts to write it or its owner withdraws it, never both. */
internal class OutgoingFrame(val bytes: ByteArray) {
    private enum class State { QUEUED, STARTED, WITHDRAWN }

    private val state = AtomicReference(State.QUEUED)

    /** Marks the frame as being written. Returns false when it was withdrawn and must not be written. */
    fun tryStart(): Boolean = state.compareAndSet(State.QUEUED, State.STARTED)

    /** Withdraws the frame if it is still queued. Returns true when no byte of it was or will be written. */
    fun withdraw(): Boolean {
        state.compareAndSet(State.QUEUED, State.WITHDRAWN)
        return state.get() == State.WITHDRAWN
    }
}

/** Encodes [frame] for writing. */
@OptIn(ExperimentalSerializationApi::class)
internal fun createOutgoingFrame(frame: Frame): OutgoingFrame = OutgoingFrame(innerCbor.encodeToByteArray<Frame>(frame))

/** Reads and writes length-prefixed frames on [socket]. */
internal class FrameSocket(
    private val socket: Socket,
    private val counters: TransportCounters,
    private val maximumFrameBytes: Int,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val queue = Channel<OutgoingFrame>(QUEUE_CAPACITY)

    /** Reads one frame. Throws an [IOException] when the connection is closed or the frame length is out of bounds. */
    @OptIn(ExperimentalSerializationApi::class)
    suspend fun read(): Frame {
        val length = input.readInt()
        if (length !in 1..maximumFrameBytes) throw IOException("invalid frame length: $length bytes")
        val bytes = input.readByteArray(length)
        counters.recordReceivedFrame(length + Int.SIZE_BYTES)
        return innerCbor.decodeFromByteArray<Frame>(bytes)
    }

    /** Writes and flushes [frame], bypassing the queue. Must not be called while [writeQueued] runs. */
    suspend fun writeNow(frame: OutgoingFrame) {
        write(frame)
        output.flush()
    }

    /** Queues [frame] for [writeQueued]; suspends while the queue is full. */
    suspend fun enqueue(frame: OutgoingFrame) {
        queue.send(frame)
    }

    /** Writes queued frames until the connection closes. Flushes whenever the queue is empty. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun writeQueued() {
        for (frame in queue) {
            if (frame.tryStart()) write(frame)
            if (queue.isEmpty) output.flush()
        }
    }

    /** Closes the connection. Queued frames are not written. */
    fun close() {
        queue.cancel()
        socket.close()
    }

    private suspend fun write(frame: OutgoingFrame) {
        output.writeInt(frame.bytes.size)
        output.writeByteArray(frame.bytes)
        counters.recordSentFrame(frame.bytes.size + Int.SIZE_BYTES)
    }

    private companion object {
        const val QUEUE_CAPACITY = 1024
    }
}
