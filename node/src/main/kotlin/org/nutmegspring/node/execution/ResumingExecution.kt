package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.execution.RetryDecision
import org.nutmegspring.execution.RetryPolicy
import org.nutmegspring.execution.TokenDisposition
import org.nutmegspring.execution.TokenSequence
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.node.engine.EngineCaller
import org.nutmegspring.node.routing.ChosenEndpoint
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.time.MonotonicClock

/**
 * Runs generations, and goes on at another engine after the last delivered token when an engine fails.
 *
 * Tokens reach the sink in the order of their positions, each once. A generation that cannot go on ends with a failure
 * whose effect is unknown when any token was delivered.
 */
class ResumingExecution(
    private val chooser: EndpointChooser,
    private val engines: EngineCaller,
    private val clock: MonotonicClock,
    private val policy: RetryPolicy,
) : GenerationExecution {
    override suspend fun run(generation: Generation, sink: TokenSink): Either<Failure, GenerationEnd> {
        policy.recordRequest()
        val order = TokenSequence()
        val failed = HashSet<EndpointId>()
        var lastFailure: Failure? = null
        while (true) {
            val chosen = chooser.choose(generation.work, failed).fold(
                { return overall(it, lastFailure, order).left() },
                { it },
            )
            val outcome = attempt(chosen, generation, order, sink)
            val failure = outcome.fold({ it }, { return it.right() })
            failed.add(chosen.endpoint.id)
            lastFailure = overall(failure, lastFailure, order)
            val repeatable = generation.work.isRepeatable
            when (val next = policy.decideAfterFailure(lastFailure, repeatable, failed.size, order.partialAnswer)) {
                is RetryDecision.Retry -> Unit
                is RetryDecision.GiveUp -> return next.failure.left()
            }
        }
    }

    private suspend fun attempt(
        chosen: ChosenEndpoint,
        generation: Generation,
        order: TokenSequence,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd> {
        val startedAt = clock.now()
        var answered = false
        var failed = true
        var gap = false
        try {
            val outcome = engines.generate(chosen.endpoint, generation, order.delivered) { position, text ->
                if (!answered) chosen.recordFirstAnswer(clock.now() - startedAt)
                answered = true
                if (gap) return@generate
                when (order.accept(position)) {
                    TokenDisposition.DELIVER -> sink.token(order.delivered, text)
                    TokenDisposition.SKIP -> Unit
                    TokenDisposition.GAP -> gap = true
                }
            }
            if (gap) return missing(chosen).left()
            failed = outcome.isLeft()
            return outcome
        } finally {
            chosen.recordCompletion(failed)
        }
    }

    private fun missing(chosen: ChosenEndpoint) = Failure(
        Step.READ_ANSWER,
        Peer("engine ${chosen.endpoint.id}"),
        Effect.UNKNOWN,
        "the engine left out tokens",
    )

    private fun overall(failure: Failure, earlier: Failure?, order: TokenSequence): Failure {
        val known = earlier?.effect != Effect.UNKNOWN && order.delivered == 0L
        return if (known) failure else failure.copy(effect = Effect.UNKNOWN)
    }
}
