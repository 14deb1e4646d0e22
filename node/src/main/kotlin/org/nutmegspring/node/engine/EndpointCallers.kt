package org.nutmegspring.node.engine

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.TokenSink

/** Calls plain services. */
interface ServiceCaller {
    /** Sends [request] to [endpoint] once and returns its whole answer. */
    suspend fun call(endpoint: EndpointDescription, request: ServiceRequest): Either<Failure, ServiceAnswer>
}

/** Calls engines. */
interface EngineCaller {
    /**
     * Runs [generation] at [endpoint] and passes its tokens to [sink], beginning after [alreadySent] tokens.
     *
     * An answer that carries the id of another request is not passed on.
     */
    suspend fun generate(
        endpoint: EndpointDescription,
        generation: Generation,
        alreadySent: Long,
        sink: TokenSink,
    ): Either<Failure, GenerationEnd>
}
