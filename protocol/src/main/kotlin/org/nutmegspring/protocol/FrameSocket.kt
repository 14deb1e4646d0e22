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

/** A frame that waits to be written. Either the writer starts it or its owner withdraws it, never both. */
internal class OutgoingFrame(val bytes: ByteArray) {
    private enum class State { QUEUED, STARTED, WITHDRAWN }

    private val state = AtomicReference(State.QUEUED)

    /** Returns true when the frame must now be written. */
    fun start(): Boolean = state.compareAndSet(State.QUEUED, State.STARTED)

    /** Returns true when no byte of the frame was or will be written. */
    fun withdraw(): Boolean {
        state.compareAndSet(State.QUEUED, State.WITHDRAWN)
        return state.get() == State.WITHDRAWN
    }
}

/** Returns [frame] ready to be written. */
@OptIn(ExperimentalSerializationApi::class)
internal fun outgoingFrame(frame: Frame): OutgoingFrame = OutgoingFrame(innerCbor.encodeToByteArray<Frame>(frame))

/** Reads and writes length-prefixed frames on [socket]. */
internal class FrameSocket(
    private val socket: Socket,
    private val counters: TransportCounters,
    private val maximumFrameBytes: Int,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val queue = Channel<OutgoingFrame>(QUEUED_FRAMES)

    /** Reads one frame. Throws an [IOException] when the connection has ended or the frame is too long. */
    @OptIn(ExperimentalSerializationApi::class)
    suspend fun read(): Frame {
        val length = input.readInt()
        if (length !in 1..maximumFrameBytes) throw IOException("a frame of $length bytes is not allowed")
        val bytes = input.readByteArray(length)
        counters.received(length + Int.SIZE_BYTES)
        return innerCbor.decodeFromByteArray<Frame>(bytes)
    }

    /** Writes [frame] at once. Must not be called while [writeQueued] runs. */
    suspend fun writeNow(frame: OutgoingFrame) {
        write(frame)
        output.flush()
    }

    /** Adds [frame] to those that wait to be written; suspends while too many wait. */
    suspend fun enqueue(frame: OutgoingFrame) {
        queue.send(frame)
    }

    /** Writes the waiting frames until the connection ends. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun writeQueued() {
        for (frame in queue) {
            if (frame.start()) write(frame)
            if (queue.isEmpty) output.flush()
        }
    }

    /** Ends the connection. Frames that wait are not written. */
    fun close() {
        queue.cancel()
        socket.close()
    }

    private suspend fun write(frame: OutgoingFrame) {
        output.writeInt(frame.bytes.size)
        output.writeByteArray(frame.bytes)
        counters.sent(frame.bytes.size + Int.SIZE_BYTES)
    }

    private companion object {
        const val QUEUED_FRAMES = 1024
    }
}
