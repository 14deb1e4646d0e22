package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import org.nutmegspring.memory.MemoryBudget

/**
 * Decodes requests one part at a time, and only while [connection] takes more. What was received beyond stays
 * undecoded, since many short requests or fields need many times their bytes once they are decoded.
 *
 * Refuses a request with both `Content-Length` and `Transfer-Encoding: chunked`. Two readers may take different ends of
 * its body, which permits request smuggling.
 */
internal class CallerDecoder(maximumHeaderBytes: Int, private val connection: CallerConnection) :
    HttpRequestDecoder(MAXIMUM_LINE_BYTES, maximumHeaderBytes, MAXIMUM_CHUNK_BYTES) {
    private var partialHead: HttpMessage? = null

    /** The bytes that were decoded since the last part was complete. */
    private var partialBytes = 0L

    /** The bytes of the last complete head. */
    var headBytes = 0L
        private set

    /** The bytes that were received and not decoded yet. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (connection.isDropping) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        if (!connection.mayDecode()) return
        val before = buffer.readableBytes()
        val parts = out.size
        super.decode(context, buffer, out)
        partialBytes += before - buffer.readableBytes()
        if (out.size > parts) {
            if (partialHead != null) headBytes = partialBytes
            partialHead = null
            partialBytes = 0
        }
        connection.chargePartial(estimatePartial())
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        // The decoder of Netty reads on, also without automatic reading, when nothing was decoded.
        if (connection.isPaused) context.fireChannelReadComplete() else super.channelReadComplete(context)
    }

    private fun estimatePartial(): Long = when (val head = partialHead) {
        null -> MemoryBudget.estimateTrailer(partialBytes)
        else -> MemoryBudget.estimateHead(partialBytes, head.headers().size())
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage =
        super.createMessage(initialLine).also { partialHead = it }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked")
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 16_384
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
