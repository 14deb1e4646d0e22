package org.nutmegspring.node.execution

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.Work

/** The answer of a plain service. [executed] is false for a repeated request that gets the answer of an earlier run. */
class ServiceOutcome(
    val answer: ServiceAnswer,
    val executed: Boolean,
)

/** Runs calls of plain services. */
interface ServiceExecution {
    /**
     * Runs [request] and returns its complete answer.
     *
     * Work that is not repeatable is sent at most once. With a [key], which the caller generated or which is a ticket,
     * this holds across all requests with the same key, regardless of the instance that receives them.
     */
    suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        key: IdempotencyKey?,
    ): Either<Failure, ServiceOutcome>
}
