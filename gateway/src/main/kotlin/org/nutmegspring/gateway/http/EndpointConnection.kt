package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.PrematureChannelClosureException
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
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel as Parts

/** A part of an answer, in order of arrival. */
sealed interface AnswerPart {
    /** The status and the headers. */
    class Head(val status: Int, val headers: HttpHeaders) : AnswerPart

    /** The next bytes of the body: all that arrived until the receiver took them, whatever pieces they came in. */
    class Body internal constructor() : AnswerPart {
        private val buffer = BodyBuffer()

        /** The number of the bytes. */
        val size: Int get() = buffer.size

        /** A copy of the bytes. */
        val bytes: ByteArray get() = buffer.toByteArray()

        internal fun append(content: ByteBuf) = buffer.append(content)
    }

    /** The answer is complete. */
    data object End : AnswerPart

    /** The answer broke off or could not be read; no part follows. [isDisconnect] if the endpoint's side closed. */
    data class Broken(val reason: String, val isDisconnect: Boolean = false) : AnswerPart
}

/**
 * A connection to an endpoint that carries one request at a time.
 *
 * It returns to the pool only after the request was written, its answer received completely, and no byte beyond it. An
 * answer whose headers fail [isExpected] belongs to an earlier request: it is skipped, and the connection is closed
 * after the expected one.
 *
 * @param onStrayBytes called when bytes were received that belong to no request, for which the connection is closed
 */
internal class EndpointConnection(
    private val clock: MonotonicClock,
    private val onStrayBytes: () -> Unit,
    private val onIdle: (EndpointConnection) -> Unit,
    private val onFatal: (Throwable) -> Unit = {},
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var channel: Channel
    private var parts: Parts<AnswerPart>? = null
    private var isExpected: (HttpHeaders) -> Boolean = { true }
    private var written: ChannelFuture? = null
    private var isSkipping = false
    private var skippedAnswers = 0
    private var skippedBytes = 0
    private var isReusable = true

    /** The hash codes of the ids of the requests so far. Equal hash codes of two ids cost one connection. */
    private val carriedIds = HashSet<Int>()
    private var isComplete = false
    private var queuedBytes = 0

    /** The last part of the body that the receiver has not taken yet, null if there is none. */
    private var openPart: AnswerPart.Body? = null

    private var answeredAt = MonotonicTime.ZERO
    private var idleTime = Duration.ZERO

    /** Whether the connection carries no request, so that every byte received on it belongs to none. */
    val isIdle: Boolean get() = parts == null

    /** Whether the connection is open, carries no request and may carry another one. */
    val isUsable: Boolean get() = channel.isActive && isIdle && isReusable

    /** Whether the endpoint may have closed the idle connection, by [ages]. */
    fun isOutdated(ages: AgeClock): Boolean = ages.ageOf(answeredAt) >= idleTime

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Whether the connection has carried a request with [requestId]. */
    fun hasCarried(requestId: String): Boolean = requestId.hashCode() in carriedIds

    /**
     * Sends [call], which has [requestId] unless that is null, and returns the parts of its answer. Answers that fail
     * [isExpected] are skipped.
     */
    fun send(
        call: HttpCall,
        requestId: String? = null,
        isExpected: (HttpHeaders) -> Boolean,
    ): ReceiveChannel<AnswerPart> {
        if (requestId != null) recordId(requestId)
        val answer = Parts<AnswerPart>(Parts.UNLIMITED)
        parts = answer
        this.isExpected = isExpected
        isComplete = false
        queuedBytes = 0
        openPart = null
        skippedAnswers = 0
        skippedBytes = 0
        val body = if (call.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(call.body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.target, body)
        request.headers().set(call.headers)
        if (call.body.isNotEmpty() || call.method !in BODILESS_METHODS) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        channel.pipeline().get(AnswerDecoder::class.java).isAnsweringHead = call.method == HttpMethod.HEAD.name()
        // A failed write closes the connection without an exception, which would look like the end of the answer.
        written = channel.writeAndFlush(request).addListener { sent ->
            if (sent.cause() is OutOfMemoryError) onFatal(sent.cause())
            if (!sent.isSuccess) fail("the request was not sent whole: ${sent.cause()?.message}", isDisconnect = true)
        }
        return answer
    }

    private fun recordId(requestId: String) {
        carriedIds += requestId.hashCode()
        if (carriedIds.size >= MAXIMUM_CARRIED_IDS) isReusable = false
    }

    /** Closes the connection, on which bytes were received that belong to no request. */
    fun closeForStrayBytes() {
        onStrayBytes()
        fail("bytes without a request")
    }

    /** Closes the connection. The endpoint then stops working on the request that it carries. */
    fun close() = fail("closed by this instance")

    /** Closes the connection if it still carries the request of [answer], and not the next one already. */
    fun close(answer: ReceiveChannel<AnswerPart>) {
        if (answer === parts) close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        when (val cause = message.decoderResult().cause()) {
            null -> Unit
            is PrematureChannelClosureException -> return fail("connection closed within a head", isDisconnect = true)
            else -> return fail("unreadable answer: $cause")
        }
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent) onContent(message)
    }

    private fun onHead(response: HttpResponse) {
        val answer = parts
        val status = response.status().code()
        when {
            answer == null || isComplete -> {
                onStrayBytes()
                fail("answer without a request")
            }

            response.hasInnerStatusLine() -> {
                onStrayBytes()
                fail("unreadable answer: a status line within the head")
            }

            status == SWITCHING_PROTOCOLS -> {
                fail("unreadable answer: a change of the protocol that was not asked for")
            }

            response.hasUnknownEncoding() -> {
                fail("unreadable answer: an encoding of the body other than chunks")
            }

            status < FIRST_FINAL_STATUS -> {
                startSkipping()
            }

            !isExpected(response.headers()) -> {
                isReusable = false
                startSkipping()
            }

            else -> {
                if (!HttpUtil.isKeepAlive(response)) isReusable = false
                answeredAt = clock.now()
                idleTime = computeIdleTime(response.headers())
                answer.trySend(AnswerPart.Head(status, response.headers()))
            }
        }
    }

    private fun startSkipping() {
        isSkipping = true
        if (++skippedAnswers > MAXIMUM_SKIPPED_ANSWERS) fail("more than $MAXIMUM_SKIPPED_ANSWERS answers skipped")
    }

    private fun skip(content: HttpContent) {
        skippedBytes += content.content().readableBytes()
        if (content is LastHttpContent) isSkipping = false
        if (skippedBytes > MAXIMUM_SKIPPED_BYTES) fail("more than $MAXIMUM_SKIPPED_BYTES bytes skipped")
    }

    private fun onContent(content: HttpContent) {
        val answer = parts
        if (isSkipping) return skip(content)
        if (answer == null || isComplete) return
        if (content.content().isReadable) queue(answer, content.content())
        if (content is LastHttpContent) {
            isComplete = true
            answer.trySend(AnswerPart.End)
            answer.close()
        }
    }

    /**
     * Adds [bytes] to the part that waits for the receiver. An object for each piece would cost many times its bytes,
     * and a receiver that takes one at a time would not give way while pieces arrive. Reading pauses while the receiver
     * is behind, so that an answer without end waits at the endpoint.
     */
    private fun queue(answer: Parts<AnswerPart>, bytes: ByteBuf) {
        queuedBytes += bytes.readableBytes()
        val part = openPart
        if (part != null) {
            part.append(bytes)
        } else {
            openPart = AnswerPart.Body().also { it.append(bytes) }.also(answer::trySend)
        }
        if (queuedBytes > MAXIMUM_QUEUED_BYTES) channel.config().isAutoRead = false
    }

    /** Records that the receiver has taken [part] of the body from [answer]. */
    fun recordTaken(answer: ReceiveChannel<AnswerPart>, part: AnswerPart.Body) {
        if (answer !== parts) return
        if (part === openPart) openPart = null
        queuedBytes -= part.size
        if (queuedBytes <= MAXIMUM_QUEUED_BYTES / 2) channel.config().isAutoRead = true
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (isIdle || !isComplete) return
        parts = null
        channel.config().isAutoRead = true
        when {
            context.pipeline().get(AnswerDecoder::class.java).hasUnreadBytes -> closeForStrayBytes()
            isReusable && written?.isSuccess == true && channel.isActive -> onIdle(this)
            else -> close()
        }
    }

    private fun fail(reason: String, isDisconnect: Boolean = false) {
        isReusable = false
        parts?.let {
            it.trySend(AnswerPart.Broken(reason, isDisconnect))
            it.close()
        }
        parts = null
        channel.close()
    }

    @Deprecated("Netty calls this for every failure of a connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is OutOfMemoryError) onFatal(cause)
        fail("connection failed: ${cause.message}", isDisconnect = cause is IOException)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (isComplete) parts = null
        fail("connection closed", isDisconnect = true)
    }

    private fun computeIdleTime(headers: HttpHeaders): Duration {
        val announced = headers.get(KEEP_ALIVE)?.let { TIMEOUT_PARAMETER.find(it) }?.groupValues?.get(1)?.toLongOrNull()
        return if (announced == null) DEFAULT_IDLE_TIME else announced.seconds * ANNOUNCED_IDLE_SHARE
    }

    private companion object {
        const val SWITCHING_PROTOCOLS = 101
        const val FIRST_FINAL_STATUS = 200

        /** Bounds the memory of a connection that is never idle for long. */
        const val MAXIMUM_CARRIED_IDS = 256

        /** Interim answers and late answers to earlier requests are few and short. */
        const val MAXIMUM_SKIPPED_ANSWERS = 16
        const val MAXIMUM_SKIPPED_BYTES = 1024 * 1024

        /** More than a packet of most answers. */
        const val MAXIMUM_QUEUED_BYTES = 64 * 1024
        val BODILESS_METHODS = setOf("GET", "DELETE")
        const val KEEP_ALIVE = "Keep-Alive"
        val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")

        /** Short, since an endpoint that sends no `Keep-Alive` timeout may close an idle connection at any time. */
        val DEFAULT_IDLE_TIME = 1500.milliseconds

        /** Less than 1, since an endpoint may close a connection a little before the timeout that it announced. */
        const val ANNOUNCED_IDLE_SHARE = 0.6
    }
}
