package org.nutmegspring.node.execution

import arrow.core.Either
import kotlinx.serialization.json.JsonObject
import org.nutmegspring.endpoint.CompletionUsage
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.RequestId
import org.nutmegspring.node.routing.Work

/**
 * A text generation request to an engine.
 *
 * @property path the HTTP path at the engine for this kind of request
 * @property body the body of the request to the engine
 */
data class Generation(
    val id: RequestId,
    val work: Work.Generation,
    val path: String,
    val body: JsonObject,
)

/** The finish reason and token usage of a completed generation. */
data class GenerationEnd(
    val finishReason: String,
    val usage: CompletionUsage,
)

/** Receives each token of a generation exactly once and in order. */
fun interface TokenSink {
    /** Called with the token at [position], counted from 1. */
    suspend fun onToken(position: Long, text: String)
}

/** Runs text generation requests. */
interface GenerationExecution {
    /** Runs [generation] and passes its tokens to [sink]. Cancellation cancels the request at the engine. */
    suspend fun run(generation: Generation, sink: TokenSink): Either<Failure, GenerationEnd>
}
