package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.flatMap
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.engine.EngineClient
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.time.MonotonicClock

/** Runs each generation once, at the engine that [chooser] names. */
class SingleAttemptExecution(
    private val chooser: EndpointChooser,
    private val engines: EngineClient,
    private val clock: MonotonicClock,
) : GenerationExecution {
    override suspend fun run(generation: Generation, sink: TokenSink): Either<Failure, GenerationEnd> =
        chooser.choose(generation.work, emptySet()).flatMap { chosen ->
            val started = clock.now()
            var answered = false
            var failed = true
            try {
                engines.generate(chosen.endpoint, generation, 0) { position, text ->
                    if (!answered) chosen.answered(clock.now() - started)
                    answered = true
                    sink.token(position, text)
                }.onRight { failed = false }
            } finally {
                chosen.finished(failed)
            }
        }
}
