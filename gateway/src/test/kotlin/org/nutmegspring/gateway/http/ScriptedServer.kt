package org.nutmegspring.gateway.http

import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A server that runs [script] for each connection, with the number of the connection (from 1) and its socket. */
internal class ScriptedServer(private val script: (Int, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    val address: String get() = "127.0.0.1:${listener.localPort}"
    val connections: Int get() = sockets.size

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                sockets += socket
                val number = sockets.size
                thread(isDaemon = true) { runCatching { script(number, socket) } }
            }
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }
}

/** Reads the head of one request and returns its lines. */
internal fun InputStream.readHead(): List<String> {
    val lines = mutableListOf<String>()
    val line = StringBuilder()
    while (true) {
        val next = read()
        if (next < 0) return lines
        if (next == '\n'.code) {
            val text = line.toString().trimEnd('\r')
            if (text.isEmpty()) return lines
            lines += text
            line.clear()
        } else {
            line.append(next.toChar())
        }
    }
}

/** Writes [text] with each line feed replaced by CRLF, the line ending of HTTP. */
internal fun OutputStream.writeHttp(text: String) {
    write(text.replace("\n", "\r\n").encodeToByteArray())
    flush()
}
