package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.ReceiveChannel
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel as Parts

/** A piece of an answer as it arrives. */
sealed interface AnswerPart {
    /** Status and headers. */
    class Head(val status: Int, val headers: HttpHeaders) : AnswerPart

    /** Bytes of the body. */
    class Body(val bytes: ByteArray) : AnswerPart

    /** The answer is complete. */
    data object End : AnswerPart

    /** The answer will not become complete. */
    data class Broken(val reason: String) : AnswerPart
}

/**
 * A connection that carries one request at a time.
 *
 * It goes back to the pool only after a complete answer to a completely written request. Answers that [accepts] does
 * not take belong to an earlier request; they are dropped, and the connection is closed after the awaited one.
 */
internal class EndpointConnection(
    private val clock: MonotonicClock,
    private val onIdle: (EndpointConnection) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var channel: Channel
    private var parts: Parts<AnswerPart>? = null
    private var accepts: (HttpHeaders) -> Boolean = { true }
    private var written: ChannelFuture? = null
    private var skipping = false
    private var reusable = true
    private var ended = false

    /** Until when the endpoint keeps the idle connection open. */
    var idleUntil: MonotonicTime = MonotonicTime.ZERO
        private set

    /** Whether a request may be sent. */
    val isUsable: Boolean get() = channel.isActive && parts == null && reusable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends [call] and returns the parts of its answer. */
    fun send(call: HttpCall, accepts: (HttpHeaders) -> Boolean): ReceiveChannel<AnswerPart> {
        val answer = Parts<AnswerPart>(Parts.UNLIMITED)
        parts = answer
        this.accepts = accepts
        ended = false
        val body = if (call.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(call.body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.target, body)
        request.headers().set(call.headers)
        if (call.body.isNotEmpty() || call.method !in BODILESS_METHODS) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        written = channel.writeAndFlush(request)
        return answer
    }

    /** Closes the connection, which ends the work of the endpoint on what it carries. */
    fun close() {
        reusable = false
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) return fail("unreadable answer: ${message.decoderResult().cause()}")
        if (message is HttpResponse) head(message)
        if (message is HttpContent) content(message)
    }

    private fun head(response: HttpResponse) {
        val answer = parts
        val status = response.status().code()
        when {
            answer == null || ended -> {
                fail("bytes without a request")
            }

            status < FIRST_FINAL_STATUS -> {
                skipping = true
            }

            !accepts(response.headers()) -> {
                skipping = true
                reusable = false
            }

            else -> {
                if (!HttpUtil.isKeepAlive(response)) reusable = false
                idleUntil = clock.now() + idleTime(response.headers())
                answer.trySend(AnswerPart.Head(status, response.headers()))
            }
        }
    }

    private fun content(content: HttpContent) {
        val answer = parts
        if (skipping) {
            if (content is LastHttpContent) skipping = false
            return
        }
        if (answer == null || ended) return
        if (content.content().isReadable) answer.trySend(AnswerPart.Body(ByteBufUtil.getBytes(content.content())))
        if (content is LastHttpContent) {
            ended = true
            answer.trySend(AnswerPart.End)
            answer.close()
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (parts == null || !ended) return
        parts = null
        if (reusable && written?.isSuccess == true && channel.isActive) onIdle(this) else close()
    }

    private fun fail(reason: String) {
        reusable = false
        parts?.let {
            it.trySend(AnswerPart.Broken(reason))
            it.close()
        }
        parts = null
        channel.close()
    }

    @Deprecated("Netty calls this for every failure of a connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail("connection failed: ${cause.message}")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (ended) parts = null
        fail("connection closed")
    }

    private fun idleTime(headers: HttpHeaders): Duration {
        val told = headers.get(KEEP_ALIVE)?.let { TIMEOUT_PARAMETER.find(it) }?.groupValues?.get(1)?.toLongOrNull()
        return if (told == null) UNTOLD_IDLE_TIME else told.seconds * TOLD_IDLE_SHARE
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        val BODILESS_METHODS = setOf("GET", "DELETE")
        const val KEEP_ALIVE = "Keep-Alive"
        val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")

        /** Endpoints that do not tell their idle time are not trusted to keep a connection for long. */
        val UNTOLD_IDLE_TIME = 1500.milliseconds

        /** The endpoint may close a little before the time that it tells. */
        const val TOLD_IDLE_SHARE = 0.6
    }
}
