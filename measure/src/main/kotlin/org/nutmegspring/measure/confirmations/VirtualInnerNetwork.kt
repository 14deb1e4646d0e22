package org.nutmegspring.measure.confirmations

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.launch
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The connections between the instances of a run. */
internal class VirtualInnerNetwork(private val world: ExecutionWorld) {
    private val ports = HashMap<InstanceId, Port>()
    private val cutOff = HashSet<InstanceId>()

    /** The probability that a message is delivered late or twice, or that its reply is lost. */
    var disorder = 0.0

    /** Returns the network as the process that now runs as [id] uses it. */
    fun port(id: InstanceId, process: VirtualProcess): InnerNetwork = Port(id, process).also { ports[id] = it }

    /** Cuts [id] off from the others, or ends that. */
    fun cutOff(id: InstanceId, cut: Boolean) {
        if (cut) cutOff.add(id) else cutOff.remove(id)
    }

    private fun disordered(detail: String): Boolean {
        val happens = world.chance(disorder)
        if (happens) world.inject(Fault.MESSAGE_DISORDER, detail)
        return happens
    }

    private fun delay(): Duration {
        val late = disordered("late message")
        return if (late) world.between(1.seconds, 20.seconds) else world.between(1.milliseconds, 4.milliseconds)
    }

    private inner class Port(
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
            process.after(timeout) { resume(failure(to, Effect.UNKNOWN).left()) }
            val refused = ports[to]?.process?.alive != true
            val copies = if (disordered("repeated message")) 2 else 1
            if (refused) {
                world.schedule.after(1.milliseconds) { resume(failure(to, Effect.NOT_RUN).left()) }
            } else if (reaches(to)) {
                repeat(copies) { world.schedule.after(delay()) { ports[to]?.receive(id, request, resume) } }
            }
        }

        private fun receive(from: InstanceId, request: InnerRequest, resume: (Either<Failure, InnerReply>) -> Unit) {
            if (!reaches(from)) return
            process.scope.launch {
                val reply = handlers.firstNotNullOfOrNull { it.handle(from, request) } ?: return@launch
                if (reaches(from) && !disordered("lost reply")) world.schedule.after(delay()) { resume(reply.right()) }
            }
        }

        private fun reaches(other: InstanceId) = id !in cutOff && other !in cutOff

        private fun failure(to: InstanceId, effect: Effect) =
            Failure(Step.EXCHANGE, Peer("instance $to"), effect, "no reply")
    }
}
