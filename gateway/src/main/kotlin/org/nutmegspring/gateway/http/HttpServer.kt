package org.nutmegspring.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope

/** An HTTP server that listens on one address. */
class HttpServer internal constructor(
    private val channel: Channel,
    private val connections: Set<CallerConnection>,
) {
    /** The port that it listens on. */
    val port: Int get() = (channel.localAddress() as java.net.InetSocketAddress).port

    /** Whether a request is being read or answered, or an answer written, on any connection. */
    val isBusy: Boolean get() = connections.any { it.isBusy }

    /** The number of open connections. */
    val connectionCount: Int get() = connections.size

    /** The number of connections on which a part of a request was received. */
    val receivingCount: Int get() = connections.count { it.isReceiving }

    /** The number of requests that were read and wait behind another one. */
    val queuedCount: Int get() = connections.sumOf { it.queuedCount }

    /** The number of connections on which an answer waits for its caller to read. */
    val unwrittenCount: Int get() = connections.count { !it.isWritten }

    /** Closes the connections on which no request is being read or answered. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    /** Answers the requests of which a part is still to be read with 503. None of them was handled. */
    fun refuseIncomplete() = connections.toList().forEach { it.refuseIncomplete() }

    /** Stops accepting connections; open ones stay. */
    fun stopListening() {
        channel.close()
    }
}

/** Listens as below, with a budget of memory for this server alone. */
fun startHttpServer(
    loop: EventLoop,
    scope: CoroutineScope,
    address: String,
    limits: ServerLimits,
    maximumHeaderBytes: Int,
    handler: RequestHandler,
): HttpServer = startHttpServer(CallerMemory(loop), scope, address, limits, maximumHeaderBytes, handler)

/**
 * Listens on [address] and runs [handler] in [scope] for each request.
 *
 * @param memory bounds what the callers of all servers on its loop make the process hold
 * @param maximumHeaderBytes the maximum size of the headers of a request
 */
fun startHttpServer(
    memory: CallerMemory,
    scope: CoroutineScope,
    address: String,
    limits: ServerLimits,
    maximumHeaderBytes: Int,
    handler: RequestHandler,
): HttpServer {
    val loop = memory.loop
    val connections = LinkedHashSet<CallerConnection>()
    val bootstrap = ServerBootstrap()
        .group(loop.group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, createReadAllocator())
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            WriteBufferWaterMark(RESUMING_UNREAD_BYTES, MAXIMUM_UNREAD_BYTES),
        )
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                val connection = CallerConnection(scope, limits, handler, connections, memory, loop.onFatal)
                channel.pipeline()
                    .addLast(CallerDecoder(maximumHeaderBytes, connection), HttpResponseEncoder(), connection)
            }
        })
    return HttpServer(bootstrap.bind(socketAddress(address)).sync().channel(), connections)
}

/** As many bytes of answers wait for a caller before its next request is handled, and before a stream goes on. */
private const val MAXIMUM_UNREAD_BYTES = 32 * 1024
private const val RESUMING_UNREAD_BYTES = 16 * 1024

/** The length of the queue of connections to accept. When it is full, callers are delayed by seconds. */
private const val ACCEPT_BACKLOG = 1024
