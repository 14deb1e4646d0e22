package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBuf
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
import org.nutmegspring.memory.MemoryAccount
import org.nutmegspring.memory.MemoryBudget
import org.nutmegspring.memory.MemoryUse
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
    private val memory: CallerMemory,
    private val onFatal: (Throwable) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var channel: Channel
    private lateinit var account: MemoryAccount
    private lateinit var decoder: CallerDecoder
    private var incomingHead: HttpRequest? = null
    private var headReadAt: TimeMark = TimeSource.Monotonic.markNow()
    private var body = BodyBuffer()
    private var isBodyDropped = false
    private var droppedBytes = 0L
    private var headCharge = 0L

    /** Whether nothing is decoded and read. */
    var isPaused = false
        private set
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
        class Request(
            val call: HttpCall,
            val keepAlive: Boolean,
            val headReadAt: TimeMark,
            val chargedBytes: Long,
        ) : Pending {
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

    /** Whether what the caller sends is not read as requests any more. */
    val isDropping: Boolean get() = isClosing || isEnding

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        decoder = context.pipeline().get(CallerDecoder::class.java)
        connections += this
        setTimer(limits.idleTimeout) { closeGracefully() }
        account = memory.open(this)
    }

    /** Whether the next part of what was received may be decoded. If not, reading pauses. */
    fun mayDecode(): Boolean {
        val may = pending.size < MAXIMUM_PIPELINED && memory.mayRead(account)
        if (!may && !isPaused) {
            isPaused = true
            channel.config().isAutoRead = false
        }
        return may
    }

    /** Goes on with what was received and not decoded, and with reading. */
    fun resume() {
        if (!isPaused || isClosing) return
        isPaused = false
        // A task, because the decoder may be the caller of this function.
        channel.eventLoop().execute {
            if (!channel.isActive || isPaused || isClosing) return@execute
            channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER).fireChannelReadComplete()
            // Only once all is decoded, since each read would add to what waits.
            if (!isPaused && !isClosing) channel.config().isAutoRead = true
        }
    }

    /** Charges [bytes] for a part of a request that is not complete. */
    fun chargePartial(bytes: Long) {
        account[MemoryUse.INCOMING] = if (incomingHead == null) bytes else bytes + incomingCharge()
    }

    private fun incomingCharge() = headCharge + MemoryBudget.estimateBody(body.allocatedBytes)

    /** Refuses what is being received, since the process holds too much for its callers. */
    fun refuseForMemory() = if (incomingHead != null && !isClosing) reject(UNAVAILABLE) else abort()

    override fun channelReadComplete(context: ChannelHandlerContext) {
        account[MemoryUse.UNDECODED] = MemoryBudget.estimateBuffer(decoder.undecodedBytes.toLong())
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
        body = BodyBuffer()
        headCharge = MemoryBudget.estimateHead(decoder.headBytes, request.headers().size())
        isBodyDropped = !limits.isKeepingBodies || !handler.readsBody(request.uri(), request.headers())
        droppedBytes = 0
        memory.recordMoved(account, decoder.headBytes)
        chargePartial(0)
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
        if (content.content().isReadable && !addToBody(content.content())) return reject(BODY_TOO_LARGE)
        if (content !is LastHttpContent) return
        incomingHead = null
        account.hasCompleted = true
        timer?.cancel(false)
        val bytes = body.toByteArray()
        val isWithoutBody = isBodyDropped && droppedBytes > 0
        val call = HttpCall(request.method().name(), request.uri(), request.headers(), bytes, isWithoutBody)
        val charge = headCharge + MemoryBudget.estimateBody(bytes.size.toLong())
        body = BodyBuffer()
        account[MemoryUse.INCOMING] = 0
        account[MemoryUse.QUEUED] += charge
        pending.addLast(Pending.Request(call, HttpUtil.isKeepAlive(request), headReadAt, charge))
        handleNext()
    }

    /** Returns false if the body is too large. */
    private fun addToBody(content: ByteBuf): Boolean {
        val count = content.readableBytes()
        memory.recordMoved(account, count.toLong())
        if (body.size + droppedBytes + count > limits.maximumBodyBytes) return false
        if (isBodyDropped) {
            droppedBytes += count
        } else {
            body.append(content)
            chargePartial(0)
        }
        return true
    }

    private fun handleNext() {
        if (handlerJob != null) return
        // The answers to further requests would only wait behind those that the caller does not read.
        if (pending.isNotEmpty() && !channel.isWritable && channel.isActive) return awaitReader()
        val next = pending.removeFirstOrNull()
        when (next) {
            null -> awaitRequest()
            is Pending.Request -> handle(next)
            is Pending.Rejected -> sendRejection(next.status)
        }
        if (isPaused && !account.isPaused && pending.size < MAXIMUM_PIPELINED) resume()
    }

    /** Closes the connection when the caller takes nothing of the answers that wait for it within the idle time. */
    private fun awaitReader() {
        // The time limit of a request that is being received goes on.
        if (incomingHead != null) return
        val mark = unreadMark()
        setTimer(limits.idleTimeout) { if (unreadMark() == mark) abort() else awaitReader() }
    }

    /** Changes when the system takes bytes, also while it has not taken the first message whole. */
    private fun unreadMark(): Long =
        unwrittenBytes - (channel.unsafe().outboundBuffer()?.currentProgress() ?: 0L)

    /** Waits for the rest of a request, whose time limit goes on, or for the next one. */
    private fun awaitRequest() {
        if (incomingHead != null) return sendContinue()
        val mark = unreadMark()
        setTimer(if (limits.isStopping) STOPPING_IDLE_TIME else limits.idleTimeout) {
            when {
                isWritten || limits.isStopping -> closeGracefully()
                unreadMark() == mark -> abort()
                else -> awaitRequest()
            }
        }
    }

    private fun handle(request: Pending.Request) {
        keepAlive = request.keepAlive
        account[MemoryUse.QUEUED] -= request.chargedBytes
        account[MemoryUse.RUNNING] = request.chargedBytes
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
        watch(written)
        if (!isLast) return
        handlerJob = null
        account[MemoryUse.RUNNING] = 0
        if (keepAlive) return handleNext()
        endReading()
        if (!written.isDone) awaitReader()
        written.addListener { closeGracefully() }
    }

    private fun watch(written: ChannelFuture) {
        chargeUnwritten()
        written.addListener {
            if (!it.isSuccess && it.cause() is OutOfMemoryError) onFatal(it.cause())
            chargeUnwritten()
        }
    }

    private fun chargeUnwritten() {
        val bytes = if (channel.isActive) unwrittenBytes else 0L
        val charge = MemoryBudget.estimateBuffer(bytes)
        val taken = account[MemoryUse.UNWRITTEN] - charge
        if (taken > 0) memory.recordMoved(account, taken)
        account[MemoryUse.UNWRITTEN] = charge
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
        if (!channel.isWritable) return
        endWait()
        if (handlerJob == null && !isClosing && pending.isNotEmpty()) handleNext()
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
        incomingHead = null
        body = BodyBuffer()
        setTimer(LINGER_TIME) { channel.close() }
        (channel as SocketChannel).shutdownOutput().addListener { if (!it.isSuccess) channel.close() }
    }

    /** Drops the request of which a part was received, and whatever follows it. */
    private fun endReading() {
        isEnding = true
        incomingHead = null
        body = BodyBuffer()
        account[MemoryUse.INCOMING] = 0
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
        if (!isWritten) awaitReader()
    }

    private fun setTimer(delay: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    @Deprecated("Netty calls this for every failure of a connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is OutOfMemoryError) onFatal(cause)
        abort()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reportUnanswered()
        memory.close(account)
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
