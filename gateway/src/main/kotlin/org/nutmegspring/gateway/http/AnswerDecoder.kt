package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.nutmegspring.node.http.HeadLines
import java.net.ProtocolException

/** Adds the handlers of a connection to an endpoint, from the socket to [connection]. */
internal fun ChannelPipeline.addAnswerHandlers(connection: EndpointConnection) {
    addLast(UnrequestedByteGuard(connection), HttpRequestEncoder(), AnswerDecoder(), connection)
}

/**
 * Decodes answers. A line that is not complete yet stays in its buffer, also after the end of an answer.
 *
 * The decoder of Netty reads heads leniently: a status may be any number, and the name of a field ends at a blank. Each
 * head is therefore checked by [HeadLines] before it is decoded, and waits in the buffer until it is complete.
 */
internal class AnswerDecoder : HttpResponseDecoder() {
    private var isAtHead = true
    private var isRefused = false
    private var checkedBytes = 0
    private var searchedBytes = 0
    private var lines = HeadLines()

    /** Whether bytes were received that are part of no message yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Whether the answers are to a HEAD request, so that they have no body whatever their headers say. */
    var isAnsweringHead = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isAnsweringHead || super.isContentAlwaysEmpty(message)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isRefused) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        if (isAtHead && !isHeadComplete(buffer, out)) return
        val decoded = out.size
        super.decode(context, buffer, out)
        val added = out.subList(decoded, out.size)
        if (added.isNotEmpty()) isAtHead = added.last() is LastHttpContent
        if (isAtHead) expectHead()
    }

    private fun expectHead() {
        checkedBytes = 0
        searchedBytes = 0
        lines = HeadLines()
    }

    /** Checks the lines that have arrived. Adds a failure to [out] when one is malformed or the head is too long. */
    private fun isHeadComplete(buffer: ByteBuf, out: MutableList<Any>): Boolean {
        while (true) {
            val lineStart = buffer.readerIndex() + checkedBytes
            val lineFeed = buffer.indexOf(buffer.readerIndex() + searchedBytes, buffer.writerIndex(), LINE_FEED)
            searchedBytes = if (lineFeed < 0) buffer.readableBytes() else lineFeed + 1 - buffer.readerIndex()
            val problem = when {
                searchedBytes > MAXIMUM_HEAD_BYTES -> "a head of more than $MAXIMUM_HEAD_BYTES bytes"
                lineFeed < 0 -> return false
                else -> lines.add(readLine(buffer, lineStart, lineFeed))
            }
            if (problem != null) {
                refuse(problem, buffer, out)
                return false
            }
            checkedBytes = searchedBytes
            if (lines.isComplete) return true
        }
    }

    private fun readLine(buffer: ByteBuf, start: Int, lineFeed: Int): ByteArray {
        val hasCarriageReturn = lineFeed > start && buffer.getByte(lineFeed - 1) == CARRIAGE_RETURN
        return ByteBufUtil.getBytes(buffer, start, lineFeed - start - if (hasCarriageReturn) 1 else 0)
    }

    private fun refuse(problem: String, buffer: ByteBuf, out: MutableList<Any>) {
        isRefused = true
        buffer.skipBytes(buffer.readableBytes())
        val refused = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY)
        refused.decoderResult = DecoderResult.failure(ProtocolException(problem))
        out += refused
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("answer has both Content-Length and Transfer-Encoding: chunked")
    }

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()

        /** More than the decoder takes, whose own limits apply once a head is complete. */
        const val MAXIMUM_HEAD_BYTES = 16_384
    }
}

/** Closes a connection on which bytes arrive while it carries no request, before they can become part of an answer. */
private class UnrequestedByteGuard(private val connection: EndpointConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (connection.isIdle) {
            ReferenceCountUtil.release(message)
            connection.closeForStrayBytes()
        } else {
            context.fireChannelRead(message)
        }
    }
}

/**
 * Whether a status line stands within the head. The head then begins with bytes of another answer that broke off, so
 * that its status and some of its headers belong to no request.
 */
internal fun HttpResponse.hasInnerStatusLine(): Boolean = isWithStatusLine(status().reasonPhrase()) ||
    headers().any { (name, value) -> isWithStatusLine(name) || isWithStatusLine(value) }

/** Whether `Transfer-Encoding` names anything but chunks. The body would be passed on without what decodes it. */
internal fun HttpResponse.hasUnknownEncoding(): Boolean = headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    .let { it.isNotEmpty() && !it.joinToString().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true) }

private fun isWithStatusLine(text: String): Boolean = VERSION in text && STATUS_LINE in text

private const val VERSION = "HTTP/1."
private val STATUS_LINE = Regex("HTTP/1\\.[0-9][ \t]+[0-9]{3}")
