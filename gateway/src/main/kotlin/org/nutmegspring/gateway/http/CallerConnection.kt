package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** What bounds the requests of one server. It is asked anew for each request. */
interface ServerLimits {
    /** The most bytes of a body. */
    val bodyBytes: Int

    /** How long a request may take to arrive after its first byte. */
    val requestTimeout: Duration

    /** How long a connection may be idle. */
    val idleTimeout: Duration

    /** Whether connections are closed after the answer under way. */
    val isStopping: Boolean
}

/** Answers requests. */
fun interface RequestHandler {
    /** Answers [exchange]. It is cancelled when the caller leaves. */
    suspend fun handle(exchange: CallerExchange)
}

/** A request of a caller and the way to answer it. */
class CallerExchange internal constructor(
    /** The request. */
    val call: HttpCall,
    private val connection: CallerConnection,
) {
    /** Whether anything of an answer was sent. */
    var isStarted: Boolean = false
        private set
    private var isFinished = false

    /** Sends a whole answer. */
    fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        if (isStarted) return
        isStarted = true
        isFinished = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        connection.write(response, isLast = true)
    }

    /** Sends the head of an answer whose body follows in pieces. */
    fun start(status: Int, headers: HttpHeaders) {
        if (isStarted) return
        isStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        connection.write(response, isLast = false)
    }

    /** Sends a piece of the body. */
    fun send(bytes: ByteArray) {
        if (!isFinished) connection.write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), isLast = false)
    }

    /** Ends the body. */
    fun finish() {
        if (isFinished) return
        isFinished = true
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT, isLast = true)
    }

    /** Closes the connection, so that an answer under way does not look complete. */
    fun abort() {
        isFinished = true
        connection.abort()
    }
}

/** The server's side of a caller's connection: one request at a time, read whole before it is handled. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val limits: ServerLimits,
    private val handler: RequestHandler,
    private val connections: MutableSet<CallerConnection>,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var channel: Channel
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var running: Job? = null
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var keepAlive = true
    private var timer: ScheduledFuture<*>? = null
    private var isClosing = false

    private class ReceivedRequest(val call: HttpCall, val keepAlive: Boolean)

    /** Whether a request is being read or answered. */
    val isBusy: Boolean get() = head != null || running != null || waiting.isNotEmpty()

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        connections += this
        schedule(limits.idleTimeout) { close() }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return
        val cause = message.decoderResult().cause()
        if (cause != null) return reject(if (cause is TooLongFrameException) STATUS_HEADERS_TOO_LARGE else STATUS_BAD)
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) add(message)
    }

    private fun begin(request: HttpRequest) {
        if (waiting.size >= MAXIMUM_PIPELINED) return reject(STATUS_BAD)
        head = request
        body = ByteArrayOutputStream(0)
        schedule(limits.requestTimeout) { reject(STATUS_REQUEST_TIMEOUT) }
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes) return reject(STATUS_BODY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun add(content: HttpContent) {
        val request = head ?: return
        if (content.content().isReadable) {
            if (body.size() + content.content().readableBytes() > limits.bodyBytes) return reject(STATUS_BODY_TOO_LARGE)
            body.write(ByteBufUtil.getBytes(content.content()))
        }
        if (content !is LastHttpContent) return
        head = null
        timer?.cancel(false)
        val call = HttpCall(request.method().name(), request.uri(), request.headers(), body.toByteArray())
        waiting.addLast(ReceivedRequest(call, HttpUtil.isKeepAlive(request)))
        next()
    }

    private fun next() {
        if (running != null) return
        val request = waiting.removeFirstOrNull() ?: return schedule(limits.idleTimeout) { close() }
        keepAlive = request.keepAlive
        val job = scope.launch { handler.handle(CallerExchange(request.call, this@CallerConnection)) }
        running = job
        job.invokeOnCompletion { cause -> if (cause != null && cause !is CancellationException) abort() }
    }

    /** Writes [message]; the last one of an answer makes way for the next request. */
    fun write(message: HttpObject, isLast: Boolean) {
        if (message is io.netty.handler.codec.http.HttpResponse && (limits.isStopping || !keepAlive)) {
            keepAlive = false
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        val written = channel.writeAndFlush(message)
        if (!isLast) return
        running = null
        if (keepAlive) next() else written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Closes at once. */
    fun abort() {
        isClosing = true
        channel.close()
    }

    /** Closes when no request is under way. */
    fun closeIfIdle() {
        if (!isBusy) close()
    }

    private fun close() {
        isClosing = true
        channel.close()
    }

    private fun reject(status: Int) {
        isClosing = true
        head = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(
            HttpHeaderNames.CONTENT_LENGTH,
            0,
        ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val job = running
        if (job == null) {
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        } else {
            job.invokeOnCompletion { channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE) }
        }
    }

    private fun schedule(after: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    @Deprecated("Netty calls this for every failure of a connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        abort()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClosing = true
        timer?.cancel(false)
        connections -= this
        waiting.clear()
        running?.cancel()
    }

    private companion object {
        const val STATUS_BAD = 400
        const val STATUS_REQUEST_TIMEOUT = 408
        const val STATUS_BODY_TOO_LARGE = 413
        const val STATUS_HEADERS_TOO_LARGE = 431

        /** Requests that a caller may send ahead of the answer it waits for. */
        const val MAXIMUM_PIPELINED = 8
    }
}

/** Returns a copy of these headers without those that concern one connection only. */
fun HttpHeaders.withoutHopHeaders(): HttpHeaders {
    val copy = copy()
    getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { copy.remove(it.trim()) }
    HOP_HEADERS.forEach { copy.remove(it) }
    return copy
}

private val HOP_HEADERS: List<CharSequence> = listOf(
    HttpHeaderNames.CONNECTION,
    "Keep-Alive",
    "Proxy-Connection",
    HttpHeaderNames.PROXY_AUTHENTICATE,
    HttpHeaderNames.PROXY_AUTHORIZATION,
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.UPGRADE,
    HttpHeaderNames.CONTENT_LENGTH,
    HttpHeaderNames.EXPECT,
)
