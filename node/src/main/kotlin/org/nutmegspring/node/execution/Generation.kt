package org.nutmegspring.node.execution

import arrow.core.Either
import kotlinx.serialization.json.JsonObject
import org.nutmegspring.endpoint.CompletionUsage
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.RequestId
import org.nutmegspring.node.routing.Work

/**
 * Text generation to be run at an engine.
 *
 * @property path the engine's path for this form of request
 * @property body the body for the engine
 */
data class Generation(
    val id: RequestId,
    val work: Work.Generation,
    val path: String,
    val body: JsonObject,
)

/** How a generation ended. */
data class GenerationEnd(
    val finishReason: String,
    val usage: CompletionUsage,
)

/** Receives the tokens of a generation in their order, each once. */
fun interface TokenSink {
    /** Takes the token at [position], counted from 1. */
    suspend fun token(position: Long, text: String)
}

/** Runs generations. */
interface GenerationExecution {
    /** Runs [generation] and passes its tokens to [sink]. Cancellation cancels the work at the engine. */
    suspend fun run(generation: Generation, sink: TokenSink): Either<Failure, GenerationEnd>
}
