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
 * Holds at most one outgoing link to each peer and opens links on demand.
 *
 * A peer's slot has a lock of its own, held while its link is opened. No other lock is taken under it.
 */
internal class PeerLinks(
    private val options: TransportOptions,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val counters: TransportCounters,
    private val clock: MonotonicClock,
) {
    private class Slot {
        val mutex = Mutex()

        @Volatile
        var link: PeerLink? = null
        var failures = 0
        var retryAt: MonotonicTime? = null
    }

    private val slots = ConcurrentHashMap<InstanceId, Slot>()

    /** Returns an open link to [peer], or a failure that is [Effect.NOT_RUN]. */
    suspend fun obtain(peer: InstanceId): Either<Failure, PeerLink> {
        val slot = slots.computeIfAbsent(peer) { Slot() }
        slot.link?.takeIf { it.isOpen }?.let { return it.right() }
        return slot.mutex.withLock {
            slot.link?.takeIf { it.isOpen }?.right() ?: open(peer, slot)
        }
    }

    /** Closes every link. */
    fun close() {
        slots.values.forEach { it.link?.close("this instance closes") }
        slots.clear()
    }

    private suspend fun open(peer: InstanceId, slot: Slot): Either<Failure, PeerLink> {
        val now = clock.now()
        slot.retryAt?.let { if (now < it) return backedOff(peer, it - now) }
        val address = options.addresses.innerAddress(peer)
            ?: return exchangeFailure(peer, Effect.NOT_RUN, "its address is not known").left()
        dropClosedSlots()
        return try {
            val link = withTimeoutOrNull(options.connectTimeout) { connect(peer, address) }
            if (link == null) failed(peer, slot, "connecting to $address timed out") else opened(slot, link)
        } catch (cause: IOException) {
            failed(peer, slot, "connecting to $address failed: ${cause.message}")
        } catch (cause: CancellationException) {
            delayNext(slot)
            throw cause
        }
    }

    private suspend fun connect(peer: InstanceId, address: String): PeerLink {
        val socket = aSocket(selector).tcp().connect(socketAddress(address)) { noDelay = true }
        val frames = FrameSocket(socket, counters, options.maximumFrameBytes)
        try {
            frames.writeNow(outgoingFrame(Frame.Hello(options.instance, options.incarnation)))
            val hello = frames.read() as? Frame.Hello
            if (hello?.instance != peer) throw IOException("instance ${hello?.instance} answered")
        } catch (cause: Throwable) {
            frames.close()
            throw cause
        }
        return PeerLink(peer, frames, counters).apply { start(scope) }
    }

    private fun opened(slot: Slot, link: PeerLink): Either<Failure, PeerLink> {
        slot.link = link
        slot.failures = 0
        slot.retryAt = null
        return link.right()
    }

    private fun failed(peer: InstanceId, slot: Slot, message: String): Either<Failure, PeerLink> {
        delayNext(slot)
        return exchangeFailure(peer, Effect.NOT_RUN, message).left()
    }

    private fun delayNext(slot: Slot) {
        val doublings = slot.failures.coerceAtMost(MAXIMUM_DOUBLINGS)
        slot.failures++
        val delay = FIRST_RETRY_DELAY * (1 shl doublings)
        slot.retryAt = clock.now() + delay * Random.nextDouble(LEAST_JITTER, 1.0)
    }

    private fun backedOff(peer: InstanceId, remaining: Duration): Either<Failure, PeerLink> =
        exchangeFailure(peer, Effect.NOT_RUN, "the last connection failed").copy(retryAfter = remaining).left()

    private fun dropClosedSlots() {
        if (slots.size > MAXIMUM_SLOTS) slots.values.removeIf { it.link?.isOpen != true && !it.mutex.isLocked }
    }

    private companion object {
        val FIRST_RETRY_DELAY = 50.milliseconds
        const val MAXIMUM_DOUBLINGS = 5
        const val LEAST_JITTER = 0.5
        const val MAXIMUM_SLOTS = 4096
    }
}

/** Returns the socket address that [address], `host:port`, describes. */
internal fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
