package org.nutmegspring.gateway.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.time.MonotonicClock
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration

/** An answer that arrives. [close] has to be called in the end; it frees the endpoint when the answer is incomplete. */
class OpenAnswer internal constructor(
    private val connection: EndpointConnection,
    /** The parts of the answer. */
    val parts: ReceiveChannel<AnswerPart>,
) {
    private var complete = false

    /** Returns the next part. After [AnswerPart.End] and [AnswerPart.Broken] there is none. */
    suspend fun next(): AnswerPart {
        val part = parts.receiveCatching().getOrNull() ?: AnswerPart.Broken("connection closed")
        if (part is AnswerPart.End) complete = true
        return part
    }

    /** Ends the exchange. */
    fun close() {
        if (!complete) connection.close()
    }
}

/** Opens and keeps connections to endpoints and the platform, by address. It is used on the event loop only. */
class EndpointConnections(
    private val loop: EventLoop,
    private val clock: MonotonicClock,
    private val connectTimeout: Duration,
) {
    private val idle = HashMap<String, ArrayDeque<EndpointConnection>>()

    /** Connections that were opened since the start. */
    var opened: Long = 0
        private set

    /** Sends [call] to [address]. The failure says [Effect.NOT_RUN] when nothing was sent. */
    suspend fun open(
        address: String,
        call: HttpCall,
        mayReuse: Boolean = true,
        accepts: (HttpHeaders) -> Boolean = { true },
    ): Either<Failure, OpenAnswer> {
        val connection = (if (mayReuse) takeIdle(address) else null)
            ?: when (val connected = connect(address)) {
                is Either.Left -> return connected
                is Either.Right -> connected.value
            }
        return OpenAnswer(connection, connection.send(call, accepts)).right()
    }

    /** Sends [call] to [address] and returns the whole answer, which has to arrive within [timeout]. */
    suspend fun exchange(address: String, call: HttpCall, timeout: Duration): Either<Failure, HttpAnswer> {
        var answer: OpenAnswer? = null
        return try {
            val whole = withTimeoutOrNull(timeout) {
                when (val opened = open(address, call)) {
                    is Either.Left -> opened
                    is Either.Right -> readWhole(address, opened.value.also { answer = it })
                }
            }
            whole ?: Failure(Step.READ_ANSWER, Peer(address), Effect.UNKNOWN, "no answer within $timeout").left()
        } finally {
            answer?.close()
        }
    }

    /** Closes the idle connections to [address], since another endpoint may have it now. */
    fun forget(address: String) {
        idle.remove(address)?.forEach { it.close() }
    }

    private suspend fun readWhole(address: String, answer: OpenAnswer): Either<Failure, HttpAnswer> {
        var head: AnswerPart.Head? = null
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = answer.next()) {
                is AnswerPart.Head -> {
                    head = part
                }

                is AnswerPart.Body -> {
                    body.write(part.bytes)
                }

                is AnswerPart.End -> {
                    val complete = checkNotNull(head) { "an answer of $address ended before its head" }
                    return HttpAnswer(complete.status, complete.headers, body.toByteArray()).right()
                }

                is AnswerPart.Broken -> {
                    return Failure(Step.READ_ANSWER, Peer(address), Effect.UNKNOWN, part.reason).left()
                }
            }
        }
    }

    private fun takeIdle(address: String): EndpointConnection? {
        val kept = idle[address] ?: return null
        val now = clock.now()
        while (kept.isNotEmpty()) {
            val connection = kept.removeLast()
            if (connection.isUsable && connection.idleUntil > now) return connection
            connection.close()
        }
        return null
    }

    private suspend fun connect(address: String): Either<Failure, EndpointConnection> {
        val connection = EndpointConnection(clock) { keep(address, it) }
        val future = bootstrap(connection).connect(socketAddress(address))
        opened++
        val channel = future.awaitChannel()
        return if (channel != null) {
            connection.right()
        } else {
            val cause = future.cause()?.message ?: "cancelled"
            Failure(Step.CONNECT, Peer(address), Effect.NOT_RUN, "cannot connect: $cause").left()
        }
    }

    private fun keep(address: String, connection: EndpointConnection) {
        val kept = idle.getOrPut(address) { ArrayDeque() }
        val now = clock.now()
        while (kept.isNotEmpty() && kept.first().idleUntil <= now) kept.removeFirst().close()
        if (kept.size >= MAXIMUM_IDLE) kept.removeFirst().close()
        kept.addLast(connection)
    }

    private fun bootstrap(connection: EndpointConnection) = Bootstrap()
        .group(loop.group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpRequestEncoder(), HttpResponseDecoder(), connection)
            }
        })

    private companion object {
        /** Idle connections kept for one address; more than one instance has in flight to one endpoint. */
        const val MAXIMUM_IDLE = 32
    }
}

/** Returns the socket address that [address] names as `host:port` with an IP number. */
internal fun socketAddress(address: String): InetSocketAddress {
    val separator = address.lastIndexOf(':')
    return InetSocketAddress(address.substring(0, separator), address.substring(separator + 1).toInt())
}

private suspend fun ChannelFuture.awaitChannel(): Channel? = suspendCancellableCoroutine { continuation ->
    addListener { outcome ->
        val opened = channel().takeIf { outcome.isSuccess }
        if (continuation.isActive) continuation.resume(opened) else opened?.close()
    }
    continuation.invokeOnCancellation { cancel(true) }
}
