package org.nutmegspring.measure.confirmations

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.nutmegspring.endpoint.CompletionUsage
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
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.node.engine.EngineCaller
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.TokenSink
import kotlin.time.Duration.Companion.milliseconds

/** Returns the token at [position] of the answer to the prompt of [request]. */
internal fun tokenOf(request: RequestId, position: Long): String = "$request.$position "

/** How many tokens the answer to each prompt has. */
internal const val ANSWER_TOKENS = 12L

/**
 * Engines that stream a fixed answer for each request and fail in many ways.
 *
 * @property matches decides whether an answer belongs to a request
 * @property positionOf returns the position that the caller sees for a token, given how many it asked to leave out
 */
internal class VirtualEngines(
    private val world: ExecutionWorld,
    private val matches: (RequestId, String?) -> Boolean = ::isOwnAnswer,
    private val positionOf: (position: Long, alreadySent: Long, first: Long) -> Long = { position, _, _ -> position },
) : EngineCaller {
    /** The probability that an engine fails at a token, or answers wrongly. */
    var failure = 0.0

    /** The engines. */
    val endpoints: List<EndpointDescription> = List(ENGINES) {
        EndpointDescription(EndpointId("engine-$it"), EndpointKind.Engine, DataCentreId("abdali"), "127.0.0.1:1")
    }
    private var lastRequest: RequestId? = null

    override suspend fun generate(
        endpoint: EndpointDescription,
        generation: Generation,
        resumeAfter: Long,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd> {
        if (fails()) return failed(endpoint, Step.CONNECT, Effect.NOT_RUN)
        val other = lastRequest
        lastRequest = generation.id
        val answered = if (other != null && fails()) other else generation.id
        if (!matches(generation.id, answered.value)) return failed(endpoint, Step.READ_ANSWER, Effect.UNKNOWN)
        val first = if (fails()) 1 else resumeAfter + 1
        for (position in first..ANSWER_TOKENS) {
            delay(1.milliseconds)
            if (fails()) return failed(endpoint, Step.READ_ANSWER, Effect.UNKNOWN)
            sink.onToken(positionOf(position, resumeAfter, first), tokenOf(answered, position))
        }
        return GenerationEnd("stop", CompletionUsage(1, ANSWER_TOKENS)).right()
    }

    private fun fails(): Boolean {
        val fails = world.chance(failure)
        if (fails) world.inject(Fault.ENDPOINT_CRASH, "at an engine")
        return fails
    }

    private fun failed(endpoint: EndpointDescription, step: Step, effect: Effect) =
        Failure(step, Peer("engine ${endpoint.id}"), effect, "the engine failed").left()

    private companion object {
        const val ENGINES = 3
    }
}
