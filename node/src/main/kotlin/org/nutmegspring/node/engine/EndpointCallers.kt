package org.nutmegspring.node.engine

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.TokenSink

/** Sends requests to the endpoints of plain services. */
interface ServiceCaller {
    /** Sends [request] to [endpoint] once, without retries, and returns the complete answer. */
    suspend fun call(endpoint: EndpointDescription, request: ServiceRequest): Either<Failure, ServiceAnswer>
}

/** Sends generations to engines. */
interface EngineCaller {
    /**
     * Runs [generation] at [endpoint] once, resuming after the first [resumeAfter] tokens, and passes its tokens
     * to [sink].
     *
     * An answer that carries the id of another request is a failure, and its tokens are not delivered.
     */
    suspend fun generate(
        endpoint: EndpointDescription,
        generation: Generation,
        resumeAfter: Long,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd>
}
