package org.nutmegspring.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope

/** A listening server. */
class HttpServer internal constructor(
    private val channel: Channel,
    private val connections: Set<CallerConnection>,
) {
    /** The port on which it listens. */
    val port: Int get() = (channel.localAddress() as java.net.InetSocketAddress).port

    /** Whether a request is being read or answered. */
    val isBusy: Boolean get() = connections.any { it.isBusy }

    /** Closes connections without a request. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    /** Takes no further connection. */
    fun stopListening() {
        channel.close()
    }
}

/** Refuses a body that is framed in two ways, since the two could be read differently. */
private class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(MAXIMUM_LINE_BYTES, headerBytes, MAXIMUM_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("a body is framed by a length and by chunks")
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 16_384
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}

/** Listens at [address] and answers requests by [handler] on [scope]. */
fun startHttpServer(
    loop: EventLoop,
    scope: CoroutineScope,
    address: String,
    limits: ServerLimits,
    headerBytes: Int,
    handler: RequestHandler,
): HttpServer {
    val connections = LinkedHashSet<CallerConnection>()
    val bootstrap = ServerBootstrap()
        .group(loop.group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(
                    StrictRequestDecoder(headerBytes),
                    HttpResponseEncoder(),
                    CallerConnection(scope, limits, handler, connections),
                )
            }
        })
    return HttpServer(bootstrap.bind(socketAddress(address)).sync().channel(), connections)
}

/** Connections that wait to be accepted; a full queue delays callers by seconds. */
private const val ACCEPT_BACKLOG = 1024
