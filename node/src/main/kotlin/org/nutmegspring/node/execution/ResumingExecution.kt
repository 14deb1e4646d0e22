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
 * Runs text generations. When an engine fails, the generation resumes at another engine after the last delivered token.
 *
 * The sink gets each token once, in the order of positions. When a generation cannot be resumed, the effect of its
 * failure is unknown if any token was delivered.
 */
class ResumingExecution(
    private val chooser: EndpointChooser,
    private val engines: EngineCaller,
    private val clock: MonotonicClock,
    private val policy: RetryPolicy,
) : GenerationExecution {
    override suspend fun run(generation: Generation, sink: TokenSink): Either<Failure, GenerationEnd> {
        policy.recordRequest()
        val sequence = TokenSequence()
        val excluded = HashSet<EndpointId>()
        var lastFailure: Failure? = null
        while (true) {
            val chosen = chooser.choose(generation.work, excluded).fold(
                { return combineWithEarlier(it, lastFailure, sequence).left() },
                { it },
            )
            val outcome = attempt(chosen, generation, sequence, sink)
            val failure = outcome.fold({ it }, { return it.right() })
            excluded.add(chosen.endpoint.id)
            lastFailure = combineWithEarlier(failure, lastFailure, sequence)
            val canRepeat = generation.work.isRepeatable
            when (val next = policy.decideAfterFailure(lastFailure, canRepeat, excluded.size, sequence.partialAnswer)) {
                is RetryDecision.Retry -> Unit
                is RetryDecision.GiveUp -> return next.failure.left()
            }
        }
    }

    private suspend fun attempt(
        chosen: ChosenEndpoint,
        generation: Generation,
        sequence: TokenSequence,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd> {
        val startedAt = clock.now()
        var isAnswered = false
        var hasFailed = true
        var hasGap = false
        try {
            val outcome = engines.generate(chosen.endpoint, generation, sequence.delivered) { position, text ->
                if (!isAnswered) chosen.recordFirstAnswer(clock.now() - startedAt)
                isAnswered = true
                if (hasGap) return@generate
                when (sequence.accept(position)) {
                    TokenDisposition.DELIVER -> sink.onToken(sequence.delivered, text)
                    TokenDisposition.SKIP -> Unit
                    TokenDisposition.GAP -> hasGap = true
                }
            }
            if (hasGap) return missingTokensFailure(chosen).left()
            hasFailed = outcome.isLeft()
            return outcome
        } finally {
            chosen.recordCompletion(hasFailed)
        }
    }

    private fun missingTokensFailure(chosen: ChosenEndpoint) = Failure(
        Step.READ_ANSWER,
        Peer("engine ${chosen.endpoint.id}"),
        Effect.UNKNOWN,
        "the engine skipped tokens",
    )

    private fun combineWithEarlier(failure: Failure, earlier: Failure?, sequence: TokenSequence): Failure {
        val isEffectKnown = earlier?.effect != Effect.UNKNOWN && sequence.delivered == 0L
        return if (isEffectKnown) failure else failure.copy(effect = Effect.UNKNOWN)
    }
}
