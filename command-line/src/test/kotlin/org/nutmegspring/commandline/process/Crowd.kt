package org.nutmegspring.commandline.process

import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration

/** The callers of a crowd do what the script says, each with its number, until the crowd leaves. */
class Crowd(private val address: InetSocketAddress, size: Int, script: CrowdCaller.(Int) -> Unit) : Closeable {
    private val isOver = AtomicBoolean()
    private val callers = List(size) { CrowdCaller(address, isOver) }
    private val threads = callers.mapIndexed { number, caller ->
        thread(isDaemon = true) {
            try {
                caller.script(number)
            } catch (_: IOException) {
                // The process may refuse such a caller, close its connection or have ended.
            }
        }
    }

    /** Lets the crowd go on for [time]. What it has sent may wait in the system until then. */
    fun await(time: Duration) = Thread.sleep(time.inWholeMilliseconds)

    /** Closes all connections. */
    override fun close() {
        isOver.set(true)
        callers.forEach { it.close() }
        threads.forEach { it.join() }
    }
}

/** A caller of a [Crowd]. */
class CrowdCaller(private val address: InetSocketAddress, private val isOver: AtomicBoolean) : Closeable {
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Opens a connection, which stays open until the crowd leaves. */
    fun connect(): Socket {
        val socket = Socket().also { sockets += it }
        if (isOver.get()) throw IOException("the crowd has left")
        socket.receiveBufferSize = BUFFER_BYTES
        socket.connect(address, CONNECT_LIMIT_MILLISECONDS)
        return socket
    }

    /** Sends [text]. */
    fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    /** Sends [bytes] in pieces of [size] bytes. */
    fun Socket.sendInPieces(bytes: ByteArray, size: Int) = bytes.indices.step(size).forEach {
        getOutputStream().write(bytes, it, minOf(size, bytes.size - it))
    }

    /** Does [action] now and then until the crowd leaves. */
    fun nowAndThen(action: () -> Unit) {
        while (!isOver.get()) {
            action()
            Thread.sleep(STEP_MILLISECONDS)
        }
    }

    override fun close() = sockets.forEach { it.close() }

    private companion object {
        /** Small, so that answers wait in the process and not in the system. */
        const val BUFFER_BYTES = 4096
        const val CONNECT_LIMIT_MILLISECONDS = 2_000
        const val STEP_MILLISECONDS = 200L
    }
}
