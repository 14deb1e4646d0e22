package org.nutmegspring.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/** Adds the handlers of a connection to an endpoint, from the socket to [connection]. */
internal fun ChannelPipeline.addAnswerHandlers(connection: EndpointConnection) {
    addLast(UnrequestedByteGuard(connection), HttpRequestEncoder(), AnswerDecoder(), connection)
}

/** Decodes answers. A line that is not complete yet stays in its buffer, also after the end of an answer. */
internal class AnswerDecoder : HttpResponseDecoder() {
    /** Whether bytes were received that are part of no message yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Whether the answers are to a HEAD request, so that they have no body whatever their headers say. */
    var isAnsweringHead = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isAnsweringHead || super.isContentAlwaysEmpty(message)
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

private fun isWithStatusLine(text: String): Boolean = VERSION in text && STATUS_LINE in text

private const val VERSION = "HTTP/1."
private val STATUS_LINE = Regex("HTTP/1\\.[0-9][ \t]+[0-9]{3}")
