package org.nutmegspring.node.execution

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.Work

/** The answer to a call of a plain service. [executed] is false for a repeat that was given the first answer. */
class ServiceOutcome(
    val answer: ServiceAnswer,
    val executed: Boolean,
)

/** Runs calls of plain services. */
interface ServiceExecution {
    /**
     * Runs [request] and returns its whole answer.
     *
     * Work that is not repeatable is sent at most once. With a [key], which is the caller's own or a ticket, that holds
     * for all requests with the same key, at whichever instances they arrive.
     */
    suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        key: IdempotencyKey?,
    ): Either<Failure, ServiceOutcome>
}
