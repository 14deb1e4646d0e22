package org.nutmegspring.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration
import kotlin.time.TimeMark

/** A request of a caller, and the functions that send its answer. */
class CallerExchange internal constructor(
    /** The request. */
    val call: HttpCall,
    private val connection: CallerConnection,
    private val headReadAt: TimeMark,
) {
    /** The time since the head of the request was read: while its body was read and while it waited for its turn. */
    val timeSinceHead: Duration get() = headReadAt.elapsedNow()

    /** Whether any part of the answer was written. */
    var isStarted: Boolean = false
        private set
    private var isFinished = false

    /** The bytes of the answer's body that were handed to the connection. */
    var sentBytes: Long = 0
        private set

    /** The bytes that wait on the connection until the system takes them, with all framing. */
    val unwrittenBytes: Long get() = connection.unwrittenBytes

    /** Sends a complete answer. Does nothing when an answer was started before. */
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
        sentBytes += body.size
        connection.write(response, isLast = true)
    }

    /** Sends the head of a chunked answer. Does nothing when an answer was started before. */
    fun start(status: Int, headers: HttpHeaders) {
        if (isStarted) return
        isStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        connection.write(response, isLast = false)
    }

    /** Sends a part of the body, unless the answer is finished. */
    fun send(bytes: ByteArray) {
        if (isFinished) return
        sentBytes += bytes.size
        connection.write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), isLast = false)
    }

    /** Waits until the caller has read most of what was sent, or has left. */
    suspend fun awaitWritable() = connection.awaitWritable()

    /** Completes the answer. */
    fun finish() {
        if (isFinished) return
        isFinished = true
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT, isLast = true)
    }

    /**
     * Closes the connection, so that the caller does not take an incomplete answer for a complete one. Does nothing
     * when the answer is complete, since the connection may carry the next request by then.
     */
    fun abort() {
        if (isFinished) return
        isFinished = true
        connection.abort()
    }
}
