package org.nutmegspring.gateway.http

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit

/**
 * The thread that carries all connections and all state of the gateway.
 *
 * The machines have one core. One thread needs no locks, and coroutines run on it between reads of connections.
 */
class EventLoop : AutoCloseable {
    /** The group of this one thread, for channels. */
    val group = NioEventLoopGroup(1)

    /** Runs coroutines on the thread. */
    val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Connections are closed before; what is left needs no time. */
        const val CLOSE_TIMEOUT_MILLISECONDS = 100L
    }
}
