package org.nutmegspring.node.http

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import kotlinx.io.Source

/** The sending side of an HTTP connection on [socket]. */
internal class RequestOutput(socket: Socket) {
    private val channel = ByteChannel()
    private val sending = socket.attachForWriting(channel)

    /** Writes a request. The last bytes may still wait to be sent when this returns. */
    suspend fun write(head: Source, body: ByteArray? = null) {
        channel.writePacket(head)
        if (body != null) channel.writeFully(body)
        channel.flush()
    }

    /**
     * Ends the sending and returns whether the system took all that was written. If it did not, the connection may have
     * been reset although it seems to have ended in order: the failed write took the error from the reader.
     */
    suspend fun finish(): Boolean {
        channel.flushAndClose()
        sending.job.join()
        // A channel that was closed in order is closed for reading once nothing is left in it.
        return channel.closedCause == null && channel.isClosedForRead
    }
}
