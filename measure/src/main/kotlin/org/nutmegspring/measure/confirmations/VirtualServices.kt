package org.nutmegspring.measure.confirmations

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.execution.isOwnAnswer
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceCaller
import org.nutmegspring.node.engine.ServiceRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What goes wrong with calls of services, each as a probability. */
internal class ServiceFaults {
    /** The connection is refused. */
    var refused = 0.0

    /** The endpoint ends before it runs the call. */
    var crashBefore = 0.0

    /** The connection is reset after the call ran. */
    var resetAfter = 0.0

    /** The answer is that to another call on the same connection. */
    var crossed = 0.0

    /** The call or its answer is late. */
    var late = 0.0

    /** The caller's process stops directly before it sends. */
    var pauseBeforeSend = 0.0
}

private class Arrival(val id: String, val body: String)

/** The endpoints of a plain service. They count what they run. */
internal class VirtualServices(
    private val world: ExecutionWorld,
    private val intents: (Long) -> Intent,
) {
    /** What goes wrong. */
    val faults = ServiceFaults()

    /** The endpoints. */
    val endpoints: List<EndpointDescription> = List(ENDPOINTS) {
        EndpointDescription(EndpointId("desk-$it"), KIND, DataCentreId("abdali"), "127.0.0.1:1")
    }
    private val lastAnswers = HashMap<EndpointId, Arrival>()

    /** Returns the services as [process] calls them. [matches] decides whether an answer belongs to a request. */
    fun callerOf(process: VirtualProcess, matches: (RequestId, String?) -> Boolean = ::isOwnAnswer): ServiceCaller =
        object : ServiceCaller {
            override suspend fun call(
                endpoint: EndpointDescription,
                request: ServiceRequest,
            ): Either<Failure, ServiceAnswer> {
                if (happens(faults.pauseBeforeSend, Fault.PAUSE)) process.pause(world.between(1.seconds, 120.seconds))
                return process.call { resume -> send(process, endpoint, request, matches, resume) }
            }
        }

    private fun send(
        process: VirtualProcess,
        endpoint: EndpointDescription,
        request: ServiceRequest,
        matches: (RequestId, String?) -> Boolean,
        resume: (Either<Failure, ServiceAnswer>) -> Unit,
    ) {
        if (happens(faults.refused, Fault.ENDPOINT_CRASH)) {
            return resume(failure(endpoint, Step.CONNECT, Effect.NOT_RUN, "connection refused").left())
        }
        process.after(SILENCE_TIMEOUT) {
            resume(failure(endpoint, Step.READ_ANSWER, Effect.UNKNOWN, "no answer").left())
        }
        val reset = failure(endpoint, Step.READ_ANSWER, Effect.UNKNOWN, "connection reset").left()
        world.schedule.after(delay()) {
            if (happens(faults.crashBefore, Fault.ENDPOINT_CRASH)) {
                resume(reset)
            } else {
                val answer = execute(endpoint, request)
                val lost = happens(faults.resetAfter, Fault.REPLY_LOST)
                world.schedule.after(delay()) { resume(if (lost) reset else read(endpoint, request, answer, matches)) }
            }
        }
    }

    private fun execute(endpoint: EndpointDescription, request: ServiceRequest): Arrival {
        val number = request.body.decodeToString().toLong()
        world.ledger.executed(intents(number), request.id)
        val own = Arrival(request.id.value, answerTo(number))
        val previous = lastAnswers.put(endpoint.id, own)
        val crosses = previous != null && happens(faults.crossed, Fault.MESSAGE_DISORDER)
        return if (crosses) checkNotNull(previous) else own
    }

    private fun read(
        endpoint: EndpointDescription,
        request: ServiceRequest,
        arrival: Arrival,
        matches: (RequestId, String?) -> Boolean,
    ): Either<Failure, ServiceAnswer> {
        if (!matches(request.id, arrival.id)) {
            return failure(endpoint, Step.READ_ANSWER, Effect.UNKNOWN, "answer to another request").left()
        }
        return ServiceAnswer(STATUS_OK, emptyList(), arrival.body.encodeToByteArray()).right()
    }

    private fun happens(probability: Double, fault: Fault): Boolean {
        val happens = world.chance(probability)
        if (happens) world.inject(fault, "at a service")
        return happens
    }

    private fun delay(): Duration {
        val late = happens(faults.late, Fault.MESSAGE_DISORDER)
        return if (late) world.between(1.seconds, 30.seconds) else world.between(1.milliseconds, 20.milliseconds)
    }

    private fun failure(endpoint: EndpointDescription, step: Step, effect: Effect, message: String) =
        Failure(step, Peer("service ${endpoint.id}"), effect, message)

    private companion object {
        const val ENDPOINTS = 3
        const val STATUS_OK = 200
        val KIND = EndpointKind.Plain(ServiceId("dispatch"))
        val SILENCE_TIMEOUT = 15.seconds
    }
}
