package org.nutmegspring.gateway.http

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit

/**
 * The single thread that serves all connections and owns all state of the gateway.
 *
 * The machines have one core, so that more threads would bring locks without parallelism. Coroutines share the thread
 * with the connections' reads and writes.
 *
 * @property onFatal ends the process, since memory was exhausted and what the thread owns may be incomplete
 */
class EventLoop(internal val onFatal: (Throwable) -> Unit = {}) : AutoCloseable {
    /** The event loop group for channels, with this thread only. */
    val group = NioEventLoopGroup(1)

    /** Dispatches coroutines to the thread. */
    val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Short, since connections are closed earlier and no work is left by then. */
        const val CLOSE_TIMEOUT_MILLISECONDS = 100L
    }
}
