package org.nutmegspring.measure.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** The network between simulated instances, with cuts, delays and repeated messages. */
internal class FaultyNetwork(
    private val schedule: VirtualSchedule,
    private val random: Random,
    private val latency: Duration = 1500.microseconds,
) {
    private val nodes = HashMap<InstanceId, Node>()

    /** The pairs of instances that do not reach each other. */
    val cuts = HashSet<Set<InstanceId>>()

    /** The longest additional delay of each way. */
    var extraDelay: Duration = Duration.ZERO

    /** The probability that a request is delivered twice. */
    var repeats = 0.0

    /** How many bytes of CBOR went over the network. */
    var bytes = 0L
        private set

    /** How many messages went over the network. */
    var messages = 0L
        private set

    /** Joins the process of [instance], whose handlers run in [scope], in place of an earlier one. */
    fun join(instance: InstanceId, scope: CoroutineScope): InnerNetwork =
        Node(instance, scope).also { nodes[instance] = it }

    private inner class Node(private val id: InstanceId, private val scope: CoroutineScope) : InnerNetwork {
        private val handlers = ArrayList<InnerHandler>()

        override fun addHandler(handler: InnerHandler) {
            handlers += handler
        }

        override suspend fun exchange(
            to: InstanceId,
            request: InnerRequest,
            timeout: Duration,
        ): Either<Failure, InnerReply> {
            val reply = CompletableDeferred<InnerReply>()
            val copies = if (random.nextDouble() < repeats) 2 else 1
            count(InnerRequest.serializer(), request)
            repeat(copies) { schedule.after(wayDelay()) { deliver(to, request, reply) } }
            return withTimeoutOrNull(timeout) { reply.await() }?.right()
                ?: Failure(Step.EXCHANGE, Peer("instance $to"), Effect.UNKNOWN, "no reply").left()
        }

        private fun deliver(to: InstanceId, request: InnerRequest, reply: CompletableDeferred<InnerReply>) {
            if (setOf(id, to) in cuts) return
            nodes[to]?.receive(id, request) { answer ->
                count(InnerReply.serializer(), answer)
                schedule.after(wayDelay()) { if (setOf(id, to) !in cuts) reply.complete(answer) }
            }
        }

        private fun receive(from: InstanceId, request: InnerRequest, respond: (InnerReply) -> Unit) {
            scope.launch {
                handlers.firstNotNullOfOrNull { it.handle(from, request) }?.let(respond)
            }
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T> count(serializer: KSerializer<T>, message: T) {
        messages++
        bytes += Cbor.encodeToByteArray(serializer, message).size + FRAME_BYTES
    }

    private fun wayDelay(): Duration = latency / 2 + extraDelay * random.nextDouble()

    private companion object {
        const val FRAME_BYTES = 60
    }
}
