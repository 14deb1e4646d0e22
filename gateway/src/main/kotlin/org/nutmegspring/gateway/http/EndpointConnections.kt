package org.nutmegspring.gateway.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.NetUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.agesWithoutSuspension
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration

/** What became of an attempt to open a connection. */
enum class ConnectionProbe {
    /** A process accepted the connection. */
    ACCEPTED,

    /** The host answered that no process listens. */
    REFUSED,

    /** No answer came, so the host or the path to it may be at fault. */
    UNANSWERED,
}

/**
 * Pools connections to endpoints and the platform by address. Not thread-safe: used on the event loop only.
 *
 * @property memory counts the bytes of all answers that are held
 * @param ages measures how long connections have been idle
 */
class EndpointConnections(
    private val loop: EventLoop,
    private val clock: MonotonicClock,
    private val connectTimeout: Duration,
    val memory: AnswerMemory = AnswerMemory(),
    private val ages: AgeClock = clock.agesWithoutSuspension(),
) {
    private val idle = HashMap<String, ArrayDeque<EndpointConnection>>()

    /** The number of connection attempts since the process started. */
    var openedCount: Long = 0
        private set

    /** The number of connections that were closed because of bytes that belong to no request. */
    var strayBytesCount: Long = 0
        private set

    /**
     * Sends [call] to [address]. When nothing was sent, the effect of the failure is [Effect.NOT_RUN].
     *
     * @param mayReuse whether an idle connection may carry the request
     * @param requestId the id by which [isExpected] recognises the answer, null if it recognises none. No connection
     * carries the same id twice, since a late copy of the first answer would pass for the second one
     * @param isExpected whether an answer with these headers belongs to [call]; others are skipped
     */
    suspend fun open(
        address: String,
        call: HttpCall,
        mayReuse: Boolean = true,
        requestId: String? = null,
        isExpected: (HttpHeaders) -> Boolean = { true },
    ): Either<Failure, OpenAnswer> {
        val connection = (if (mayReuse) takeIdle(address, requestId) else null)
            ?: when (val connected = connect(address)) {
                is Either.Left -> return connected
                is Either.Right -> connected.value
            }
        return OpenAnswer(connection, connection.send(call, requestId, isExpected), memory).right()
    }

    /**
     * Sends [call] to [address] and returns the complete answer, or a failure if it takes longer than [timeout].
     *
     * @param mayReuse whether an idle connection may carry the request. Its answer has no id, so an extra answer to an
     * earlier request on that connection would pass for it
     */
    suspend fun exchange(
        address: String,
        call: HttpCall,
        timeout: Duration,
        mayReuse: Boolean = true,
    ): Either<Failure, HttpAnswer> {
        var answer: OpenAnswer? = null
        return try {
            val whole = withTimeoutOrNull(timeout) {
                when (val opened = open(address, call, mayReuse)) {
                    is Either.Left -> opened
                    is Either.Right -> opened.value.also { answer = it }.readWhole(address)
                }
            }
            whole ?: Failure(Step.READ_ANSWER, Peer(address), Effect.UNKNOWN, "no answer within $timeout").left()
        } finally {
            answer?.close()
        }
    }

    /** Tells whether a process accepts connections at [address], by opening one that carries no request. */
    suspend fun probe(address: String): ConnectionProbe {
        val target = parseSocketAddress(address) ?: return ConnectionProbe.UNANSWERED
        val future = bootstrap(
            EndpointConnection(clock, ::countStrayBytes, {
                it.close()
            }, loop.onFatal),
        ).connect(target)
        openedCount++
        val channel = future.awaitChannel()
        channel?.close()
        val cause = future.cause()
        return when {
            channel != null -> ConnectionProbe.ACCEPTED
            cause is ConnectException && cause !is ConnectTimeoutException -> ConnectionProbe.REFUSED
            else -> ConnectionProbe.UNANSWERED
        }
    }

    /** Closes the idle connections to [address], which may belong to another endpoint now. */
    fun closeIdle(address: String) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Returns the connection that became idle last among those that have not carried [requestId]. */
    private fun takeIdle(address: String, requestId: String?): EndpointConnection? {
        val pooled = idle[address] ?: return null
        for (index in pooled.indices.reversed()) {
            val connection = pooled[index]
            if (!connection.isUsable || connection.isOutdated(ages)) {
                pooled.removeAt(index)
                connection.close()
            } else if (requestId == null || !connection.hasCarried(requestId)) {
                pooled.removeAt(index)
                return connection
            }
        }
        return null
    }

    private suspend fun connect(address: String): Either<Failure, EndpointConnection> {
        val target = parseSocketAddress(address)
            ?: return Failure(Step.CONNECT, Peer(address), Effect.NOT_RUN, "no IP address with a port").left()
        val connection = EndpointConnection(clock, ::countStrayBytes, { addIdle(address, it) }, loop.onFatal)
        val future = bootstrap(connection).connect(target)
        openedCount++
        val channel = future.awaitChannel()
        return if (channel != null) {
            connection.right()
        } else {
            val cause = future.cause()?.message ?: "cancelled"
            Failure(Step.CONNECT, Peer(address), Effect.NOT_RUN, "cannot connect: $cause").left()
        }
    }

    private fun addIdle(address: String, connection: EndpointConnection) {
        val pooled = idle.getOrPut(address) { ArrayDeque() }
        while (pooled.isNotEmpty() && pooled.first().isOutdated(ages)) pooled.removeFirst().close()
        if (pooled.size >= MAXIMUM_IDLE) pooled.removeFirst().close()
        pooled.addLast(connection)
    }

    private fun countStrayBytes() {
        strayBytesCount++
    }

    private fun bootstrap(connection: EndpointConnection) = Bootstrap()
        .group(loop.group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, createReadAllocator())
        .handler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addAnswerHandlers(connection)
            }
        })

    private companion object {
        /** Idle connections kept for one address. More than one instance has requests in flight to one endpoint. */
        const val MAXIMUM_IDLE = 32
    }
}

/**
 * Parses [address], `host:port` with an IP address as the host; a name would block on DNS.
 *
 * @throws IllegalArgumentException if it is none
 */
internal fun socketAddress(address: String): InetSocketAddress =
    requireNotNull(parseSocketAddress(address)) { "'$address' is no IP address with a port" }

/** Returns [address], `host:port`, parsed, or null unless it is an IP address with a port from 1 to 65535, or 0. */
fun parseSocketAddress(address: String): InetSocketAddress? {
    val separator = address.lastIndexOf(':')
    if (separator < 0) return null
    val port = address.substring(separator + 1).toIntOrNull()?.takeIf { it in PORTS } ?: return null
    val host = address.substring(0, separator).removeSurrounding("[", "]")
    val bytes = NetUtil.createByteArrayFromIpAddressString(host) ?: return null
    return InetSocketAddress(InetAddress.getByAddress(bytes), port)
}

/** Port 0 lets the system choose one for a server. */
private val PORTS = 0..65_535

private suspend fun ChannelFuture.awaitChannel(): Channel? = suspendCancellableCoroutine { continuation ->
    addListener { outcome ->
        val opened = channel().takeIf { outcome.isSuccess }
        if (continuation.isActive) continuation.resume(opened) else opened?.close()
    }
    continuation.invokeOnCancellation { cancel(true) }
}
