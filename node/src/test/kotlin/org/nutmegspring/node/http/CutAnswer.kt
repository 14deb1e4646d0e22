package org.nutmegspring.node.http

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** An HTTP [answer], with LF as the end of lines, and whether its end is that of the connection. */
internal class Framing(
    private val name: String,
    head: String,
    body: String,
    val endsWithConnection: Boolean = false,
) {
    val head = head.replace("\n", "\r\n").encodeToByteArray()
    val answer = this.head + body.replace("\n", "\r\n").encodeToByteArray()

    /** The numbers of bytes after which the answer, cut there, is not whole. */
    val cuts: IntRange get() = 0 until if (endsWithConnection) head.size else answer.size

    override fun toString() = name
}

/** Returns answers with [body] and [headers], a list of lines, in all framings. */
internal fun framings(body: String, headers: String = ""): List<Framing> {
    val lengthHead = "HTTP/1.1 200 OK\n${headers}Content-Length: ${body.length}\n\n"
    val chunks = body.chunked(12).joinToString("") { "${it.length.toString(16)}\n$it\n" } + "0\n\n"
    return listOf(
        Framing("length", lengthHead, body),
        Framing("chunks", "HTTP/1.1 200 OK\n${headers}Transfer-Encoding: chunked\n\n", chunks),
        Framing("connection", "HTTP/1.1 200 OK\n${headers}Connection: close\n\n", body, endsWithConnection = true),
        Framing("interim", "HTTP/1.1 103 Early Hints\nLink: </x>\n\n$lengthHead", body),
    )
}

/** How a connection ends. */
internal enum class Ending { CLOSE, RESET }

/** Sends the given bytes in answer to each request, one a connection, and then ends the connection. */
internal class CuttingServer : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** The address, `host:port`. */
    val address = "127.0.0.1:${listener.localPort}"

    @Volatile
    private var packets: List<ByteArray> = emptyList()

    @Volatile
    private var ending = Ending.CLOSE

    init {
        thread(isDaemon = true) { runCatching { while (true) answerOne() } }
    }

    /** Sets what is sent from now on: [packets], each in a write of its own, and the [ending]. */
    fun answerWith(packets: List<ByteArray>, ending: Ending = Ending.CLOSE) {
        this.packets = packets
        this.ending = ending
    }

    override fun close() = listener.close()

    private fun answerOne() = listener.accept().use { socket ->
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        var length = 0
        while (true) {
            val bytes = generateSequence { input.read() }.takeWhile { it > LINE_FEED }
            val line = bytes.joinToString("") { it.toChar().toString() }
            if (line.startsWith("Content-Length: ")) length = line.substringAfter(": ").trim().toInt()
            if (line.isBlank()) break
        }
        input.readNBytes(length)
        packets.forEach { socket.getOutputStream().write(it) }
        if (ending == Ending.RESET) socket.setSoLinger(true, 0)
    }

    private companion object {
        const val LINE_FEED = 10
    }
}
