package org.nutmegspring.measure.virtual

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.launch
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Carries messages between virtual processes, late, twice or not at all.
 *
 * @property reaches whether messages from one instance arrive at another at the moment
 */
internal class VirtualNetwork(
    private val world: FaultWorld,
    private val reaches: (InstanceId, InstanceId) -> Boolean,
) {
    private val links = HashMap<InstanceId, Link>()

    /** The probability that a message is late, and that it arrives twice. */
    var disorder: Double = 0.0

    /** Returns the network as the instance [id] in [process] sees it. */
    fun join(id: InstanceId, process: VirtualProcess): InnerNetwork = Link(id, process).also { links[id] = it }

    private fun delay(): Duration =
        if (isDisordered()) world.milliseconds(1, LATE_MILLISECONDS) else world.milliseconds(1, USUAL_MILLISECONDS)

    private fun isDisordered(): Boolean = world.random.nextDouble() < disorder

    private inner class Link(
        private val id: InstanceId,
        private val process: VirtualProcess,
    ) : InnerNetwork {
        private val handlers = ArrayList<InnerHandler>()

        override fun addHandler(handler: InnerHandler) {
            handlers.add(handler)
        }

        override suspend fun exchange(
            to: InstanceId,
            request: InnerRequest,
            timeout: Duration,
        ): Either<Failure, InnerReply> = process.call { resume ->
            process.after(timeout) { resume(unanswered(to)) }
            repeat(if (isDisordered()) 2 else 1) { send(to, request, resume) }
        }

        private fun send(to: InstanceId, request: InnerRequest, resume: (Either<Failure, InnerReply>) -> Unit) {
            val target = links[to] ?: return
            if (!reaches(id, to)) return
            world.schedule.after(delay()) {
                target.process.scope.launch {
                    val reply = target.handlers.firstNotNullOfOrNull { it.handle(id, request) } ?: return@launch
                    if (reaches(to, id)) world.schedule.after(delay()) { resume(reply.right()) }
                }
            }
        }

        private fun unanswered(to: InstanceId): Either<Failure, InnerReply> =
            Failure(Step.EXCHANGE, Peer("instance $to"), Effect.UNKNOWN, "no answer").left()
    }

    private companion object {
        const val USUAL_MILLISECONDS = 10L
        const val LATE_MILLISECONDS = 20_000L
    }
}
