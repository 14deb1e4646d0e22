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

/** Creates the failure of an exchange with [peer]. */
internal fun createExchangeFailure(peer: InstanceId, effect: Effect, message: String): Failure =
    Failure(Step.EXCHANGE, Peer("instance $peer"), effect, message)

/** An outgoing connection that sends requests to [peer] and matches replies to them by id. */
internal class PeerConnection(
    private val peer: InstanceId,
    private val socket: FrameSocket,
    private val counters: TransportCounters,
) {
    private class PendingRequest(val frame: OutgoingFrame) {
        val reply = CompletableDeferred<Either<Failure, ByteArray>>()
    }

    private val pendingRequests = ConcurrentHashMap<Long, PendingRequest>()
    private val closed = AtomicBoolean()
    private val timeoutsSinceLastFrame = AtomicInteger()

    /** Whether the connection still accepts requests. */
    val isOpen: Boolean get() = !closed.get()

    /** Starts the coroutines that write requests and read replies in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { runThenClose { socket.writeQueued() } }
        scope.launch { runThenClose { readReplies() } }
    }

    /** Sends [frame], a request with [id], and waits for the encoded reply. */
    suspend fun exchange(id: Long, frame: OutgoingFrame): Either<Failure, ByteArray> {
        val request = PendingRequest(frame)
        pendingRequests[id] = request
        try {
            if (!isOpen) return createFailure(frame, "the connection is closed").left()
            socket.enqueue(frame)
            return request.reply.await()
        } finally {
            pendingRequests.remove(id)
        }
    }

    /** Records a request timeout. [TIMEOUTS_BEFORE_CLOSE] of them without a received frame close the connection. */
    fun recordTimeout() {
        if (timeoutsSinceLastFrame.incrementAndGet() >= TIMEOUTS_BEFORE_CLOSE) close("no replies were received")
    }

    /** Closes the connection and fails the pending requests with [reason]. */
    fun close(reason: String) {
        if (!closed.compareAndSet(false, true)) return
        socket.close()
        pendingRequests.values.forEach { it.reply.complete(createFailure(it.frame, reason).left()) }
    }

    private suspend fun runThenClose(action: suspend () -> Unit) {
        try {
            action()
            close("the connection was closed")
        } catch (cause: Throwable) {
            close("the connection failed: ${cause.message}")
        }
    }

    private suspend fun readReplies() {
        while (true) {
            val frame = socket.read()
            timeoutsSinceLastFrame.set(0)
            val request = (frame as? Frame.Reply)?.let { pendingRequests.remove(it.id) }
            if (request == null) counters.recordDroppedReply() else request.reply.complete(frame.body.right())
        }
    }

    private fun createFailure(frame: OutgoingFrame, reason: String): Failure {
        val effect = if (frame.withdraw()) Effect.NOT_RUN else Effect.UNKNOWN
        return createExchangeFailure(peer, effect, reason)
    }

    private companion object {
        const val TIMEOUTS_BEFORE_CLOSE = 3
    }
}
