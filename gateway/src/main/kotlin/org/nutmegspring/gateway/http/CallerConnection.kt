package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * The server side of a connection from a caller.
 *
 * It handles one request at a time, in order of arrival, and reads each one completely before it is handled.
 */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val limits: ServerLimits,
    private val handler: RequestHandler,
    private val connections: MutableSet<CallerConnection>,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var channel: Channel
    private var incomingHead: HttpRequest? = null
    private var headReadAt: TimeMark = TimeSource.Monotonic.markNow()
    private var body = ByteArrayOutputStream(0)
    private var handlerJob: Job? = null
    private val pending = ArrayDeque<Pending>()
    private var isContinueExpected = false
    private var keepAlive = true
    private var timer: ScheduledFuture<*>? = null

    /** Whether no further request is read, because the connection ends after the answers that are due. */
    private var isEnding = false
    private var isClosing = false
    private var lastWrite: ChannelFuture? = null
    private var writable: CompletableDeferred<Unit>? = null

    /** What was read and waits until the answers before it are complete. */
    private sealed interface Pending {
        class Request(val call: HttpCall, val keepAlive: Boolean, val headReadAt: TimeMark) : Pending {
            val readAt = TimeSource.Monotonic.markNow()
        }

        /** A request that can't be handled, for which the connection ends. */
        class Rejected(val status: Int) : Pending
    }

    /** The number of requests that were read and wait behind the one that is handled. */
    val queuedCount: Int get() = pending.size

    /** Whether a part of a request was received. */
    val isReceiving: Boolean get() = incomingHead != null

    /** The bytes that the system has not taken yet. */
    val unwrittenBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L

    /** Whether a request is being read or answered, or an answer waits for a caller that reads slowly. */
    val isBusy: Boolean
        get() = incomingHead != null || handlerJob != null || pending.isNotEmpty() || !isWritten

    /** Whether all that was sent has been taken by the system. */
    val isWritten: Boolean get() = lastWrite?.isDone ?: true

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        connections += this
        setTimer(limits.idleTimeout) { closeGracefully() }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing || isEnding) return
        val cause = message.decoderResult().cause()
        if (cause != null) return reject(if (cause is TooLongFrameException) HEADERS_TOO_LARGE else BAD_REQUEST)
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent) onContent(message)
    }

    private fun onHead(request: HttpRequest) {
        incomingHead = request
        headReadAt = TimeSource.Monotonic.markNow()
        body = ByteArrayOutputStream(0)
        setTimer(limits.requestTimeout) { reject(REQUEST_TIMEOUT) }
        if (HttpUtil.getContentLength(request, 0L) > limits.maximumBodyBytes) return reject(BODY_TOO_LARGE)
        isContinueExpected = HttpUtil.is100ContinueExpected(request)
        if (handlerJob == null) sendContinue()
    }

    /** Asks the caller for the body that it holds back, in its turn between the answers. */
    private fun sendContinue() {
        if (!isContinueExpected) return
        isContinueExpected = false
        channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    private fun onContent(content: HttpContent) {
        val request = incomingHead ?: return
        if (content.content().isReadable) {
            if (body.size() + content.content().readableBytes() > limits.maximumBodyBytes) return reject(BODY_TOO_LARGE)
            body.write(ByteBufUtil.getBytes(content.content()))
        }
        if (content !is LastHttpContent) return
        incomingHead = null
        timer?.cancel(false)
        val call = HttpCall(request.method().name(), request.uri(), request.headers(), body.toByteArray())
        pending.addLast(Pending.Request(call, HttpUtil.isKeepAlive(request), headReadAt))
        if (pending.size >= MAXIMUM_PIPELINED) channel.config().isAutoRead = false
        handleNext()
    }

    private fun handleNext() {
        if (handlerJob != null) return
        val next = pending.removeFirstOrNull()
        if (pending.size < MAXIMUM_PIPELINED) channel.config().isAutoRead = true
        when (next) {
            null -> awaitRequest()
            is Pending.Request -> handle(next)
            is Pending.Rejected -> sendRejection(next.status)
        }
    }

    /** Waits for the rest of a request, whose time limit goes on, or for the next one. */
    private fun awaitRequest() {
        if (incomingHead != null) return sendContinue()
        setTimer(if (limits.isStopping) STOPPING_IDLE_TIME else limits.idleTimeout) { closeGracefully() }
    }

    private fun handle(request: Pending.Request) {
        keepAlive = request.keepAlive
        val exchange = CallerExchange(request.call, this, request.headReadAt)
        val job = scope.launch { handler.handle(exchange) }
        handlerJob = job
        job.invokeOnCompletion { cause -> if (cause != null && cause !is CancellationException) abort() }
    }

    /** Writes [message]; after the last part of an answer, handles the next request or closes the connection. */
    fun write(message: HttpObject, isLast: Boolean) {
        if (message is FullHttpResponse && isLastAnswer()) keepAlive = false
        if (message is HttpResponse && !keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        val written = channel.writeAndFlush(message)
        lastWrite = written
        if (!isLast) return
        handlerJob = null
        if (keepAlive) return handleNext()
        endReading()
        written.addListener { closeGracefully() }
    }

    /**
     * Whether the connection ends after the answer that is complete now, since the process stops. Not while another
     * request was read or is being received; and a stream does not tell, since requests may still arrive behind it.
     */
    private fun isLastAnswer() = limits.isStopping && pending.isEmpty() && incomingHead == null

    /** Waits while the caller reads more slowly than answers are written. */
    suspend fun awaitWritable() {
        if (channel.isWritable || !channel.isActive) return
        (writable ?: CompletableDeferred<Unit>().also { writable = it }).await()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) endWait()
    }

    private fun endWait() {
        writable?.complete(Unit)
        writable = null
    }

    /** Closes the connection immediately, also while a request is handled. */
    fun abort() {
        isClosing = true
        channel.close()
    }

    /** Closes the connection if no request is being read or answered. */
    fun closeIfIdle() {
        if (!isBusy) closeGracefully()
    }

    /** Refuses the request of which a part is still to be read, if any. */
    fun refuseIncomplete() {
        if (incomingHead != null && !isClosing) reject(UNAVAILABLE)
    }

    /**
     * Ends the connection after all that was written. It is closed a moment later, since bytes that were not read turn
     * that into a reset, which may overtake the last answer.
     *
     * What the caller still sends stays unread, so that it knows that none of it was handled; [isReading] when it sends
     * the rest of a request that was refused, which it may have to complete before it reads the refusal.
     */
    private fun closeGracefully(isReading: Boolean = false) {
        if (isClosing) return
        isClosing = true
        channel.config().isAutoRead = isReading
        setTimer(LINGER_TIME) { channel.close() }
        (channel as SocketChannel).shutdownOutput().addListener { if (!it.isSuccess) channel.close() }
    }

    /** Drops the request of which a part was received, and whatever follows it. */
    private fun endReading() {
        isEnding = true
        incomingHead = null
        timer?.cancel(false)
    }

    /** Ends the connection with [status] once the requests before are answered. */
    private fun reject(status: Int) {
        endReading()
        pending.addLast(Pending.Rejected(status))
        handleNext()
    }

    private fun sendRejection(status: Int) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers()
            .set(HttpHeaderNames.CONTENT_LENGTH, 0)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        lastWrite = channel.writeAndFlush(response).addListener { closeGracefully(isReading = true) }
    }

    private fun setTimer(delay: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    @Deprecated("Netty calls this for every failure of a connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        abort()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reportUnanswered()
        isClosing = true
        timer?.cancel(false)
        connections -= this
        pending.clear()
        endWait()
        handlerJob?.cancel()
    }

    private fun reportUnanswered() = pending.filterIsInstance<Pending.Request>().forEach {
        val isClosedByCaller = !isClosing && keepAlive
        val peer = channel.remoteAddress()?.toString().orEmpty()
        handler.onUnanswered(UnansweredRequest(it.call, peer, it.readAt.elapsedNow(), isClosedByCaller))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val UNAVAILABLE = 503

        /** Several times the time in which a caller learns of the end of its connection. */
        val LINGER_TIME = 500.milliseconds

        /** In which a caller that has not learned of a planned stop may send its next request. */
        val STOPPING_IDLE_TIME = 500.milliseconds

        /** Reading pauses while this many complete requests are queued on a connection. */
        const val MAXIMUM_PIPELINED = 8
    }
}
