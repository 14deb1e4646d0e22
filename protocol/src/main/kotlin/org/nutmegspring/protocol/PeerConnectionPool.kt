package org.nutmegspring.protocol

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Shares one outgoing connection to each peer among its requests, and opens connections on demand.
 *
 * Each peer's entry has its own lock, held while the connection is opened. No other lock is acquired under it.
 */
internal class PeerConnectionPool(
    private val options: TransportOptions,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val counters: TransportCounters,
    private val clock: MonotonicClock,
) {
    private class PeerEntry {
        val mutex = Mutex()

        @Volatile
        var connection: PeerConnection? = null
        var failures = 0
        var retryAt: MonotonicTime? = null
    }

    private val entries = ConcurrentHashMap<InstanceId, PeerEntry>()

    /** Returns an open connection to [peer], or a failure that is [Effect.NOT_RUN]. */
    suspend fun obtain(peer: InstanceId): Either<Failure, PeerConnection> {
        val entry = entries.computeIfAbsent(peer) { PeerEntry() }
        entry.connection?.takeIf { it.isOpen }?.let { return it.right() }
        return entry.mutex.withLock {
            entry.connection?.takeIf { it.isOpen }?.right() ?: open(peer, entry)
        }
    }

    /** Closes all connections. */
    fun close() {
        entries.values.forEach { it.connection?.close("this instance is shutting down") }
        entries.clear()
    }

    private suspend fun open(peer: InstanceId, entry: PeerEntry): Either<Failure, PeerConnection> {
        val now = clock.now()
        entry.retryAt?.let { if (now < it) return createBackoffFailure(peer, it - now) }
        val address = options.addresses.innerAddress(peer)
            ?: return createExchangeFailure(peer, Effect.NOT_RUN, "the address is not known").left()
        removeClosedEntries()
        return try {
            val connection = withTimeoutOrNull(options.connectTimeout) { connect(peer, address) }
            if (connection == null) {
                recordFailure(peer, entry, "connecting to $address timed out")
            } else {
                recordConnected(entry, connection)
            }
        } catch (cause: IOException) {
            recordFailure(peer, entry, "connecting to $address failed: ${cause.message}")
        } catch (cause: CancellationException) {
            scheduleRetry(entry)
            throw cause
        }
    }

    private suspend fun connect(peer: InstanceId, address: String): PeerConnection {
        val socket = aSocket(selector).tcp().connect(parseSocketAddress(address)) { noDelay = true }
        val frames = FrameSocket(socket, counters, options.maximumFrameBytes)
        try {
            frames.writeNow(createOutgoingFrame(Frame.Hello(options.instance, options.incarnation)))
            val hello = frames.read() as? Frame.Hello
            if (hello?.instance != peer) throw IOException("unexpected instance ${hello?.instance} at this address")
        } catch (cause: Throwable) {
            frames.close()
            throw cause
        }
        return PeerConnection(peer, frames, counters).apply { start(scope) }
    }

    private fun recordConnected(entry: PeerEntry, connection: PeerConnection): Either<Failure, PeerConnection> {
        entry.connection = connection
        entry.failures = 0
        entry.retryAt = null
        return connection.right()
    }

    private fun recordFailure(peer: InstanceId, entry: PeerEntry, message: String): Either<Failure, PeerConnection> {
        scheduleRetry(entry)
        return createExchangeFailure(peer, Effect.NOT_RUN, message).left()
    }

    private fun scheduleRetry(entry: PeerEntry) {
        val doublings = entry.failures.coerceAtMost(MAXIMUM_DOUBLINGS)
        entry.failures++
        val delay = INITIAL_RETRY_DELAY * (1 shl doublings)
        entry.retryAt = clock.now() + delay * Random.nextDouble(MINIMUM_JITTER, 1.0)
    }

    private fun createBackoffFailure(peer: InstanceId, remaining: Duration): Either<Failure, PeerConnection> =
        createExchangeFailure(peer, Effect.NOT_RUN, "the previous connection attempt failed")
            .copy(retryAfter = remaining)
            .left()

    private fun removeClosedEntries() {
        if (entries.size > ENTRIES_BEFORE_CLEANUP) {
            entries.values.removeIf { it.connection?.isOpen != true && !it.mutex.isLocked }
        }
    }

    private companion object {
        val INITIAL_RETRY_DELAY = 50.milliseconds
        const val MAXIMUM_DOUBLINGS = 5
        const val MINIMUM_JITTER = 0.5
        const val ENTRIES_BEFORE_CLEANUP = 4096
    }
}

/** Parses [address], which has the form `host:port`. */
internal fun parseSocketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
