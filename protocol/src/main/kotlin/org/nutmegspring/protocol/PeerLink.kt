package org.nutmegspring.protocol

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Returns a failure to exchange a message with [peer]. */
internal fun exchangeFailure(peer: InstanceId, effect: Effect, message: String): Failure =
    Failure(Step.EXCHANGE, Peer("instance $peer"), effect, message)

/** An open connection over which requests go to [peer] and replies come back, matched by id. */
internal class PeerLink(
    private val peer: InstanceId,
    private val socket: FrameSocket,
    private val counters: TransportCounters,
) {
    private class Pending(val frame: OutgoingFrame) {
        val reply = CompletableDeferred<Either<Failure, ByteArray>>()
    }

    private val pending = ConcurrentHashMap<Long, Pending>()
    private val closed = AtomicBoolean()
    private val timeoutsSinceRead = AtomicInteger()

    /** Whether requests can be sent. */
    val isOpen: Boolean get() = !closed.get()

    /** Starts to read replies and to write requests in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { closeAfter { socket.writeQueued() } }
        scope.launch { closeAfter { readReplies() } }
    }

    /** Sends [frame], a request with [id], and waits for the encoded reply. */
    suspend fun exchange(id: Long, frame: OutgoingFrame): Either<Failure, ByteArray> {
        val entry = Pending(frame)
        pending[id] = entry
        try {
            if (!isOpen) return failureOf(frame, "the connection closed").left()
            socket.enqueue(frame)
            return entry.reply.await()
        } finally {
            pending.remove(id)
        }
    }

    /** Tells that a request of this link timed out. Several without any reply in between close the link. */
    fun timedOut() {
        if (timeoutsSinceRead.incrementAndGet() >= TIMEOUTS_BEFORE_CLOSE) close("no replies came")
    }

    /** Closes the link and fails what is pending. */
    fun close(reason: String) {
        if (!closed.compareAndSet(false, true)) return
        socket.close()
        pending.values.forEach { it.reply.complete(failureOf(it.frame, reason).left()) }
    }

    private suspend fun closeAfter(action: suspend () -> Unit) {
        try {
            action()
            close("the connection ended")
        } catch (cause: Throwable) {
            close("the connection broke: ${cause.message}")
        }
    }

    private suspend fun readReplies() {
        while (true) {
            val frame = socket.read()
            timeoutsSinceRead.set(0)
            val entry = (frame as? Frame.Reply)?.let { pending.remove(it.id) }
            if (entry == null) counters.replyDropped() else entry.reply.complete(frame.body.right())
        }
    }

    private fun failureOf(frame: OutgoingFrame, reason: String): Failure {
        val effect = if (frame.withdraw()) Effect.NOT_RUN else Effect.UNKNOWN
        return exchangeFailure(peer, effect, reason)
    }

    private companion object {
        const val TIMEOUTS_BEFORE_CLOSE = 3
    }
}
