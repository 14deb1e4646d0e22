package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.flatMap
import org.nutmegspring.failure.Failure
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceClient
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.node.routing.Work
import org.nutmegspring.time.MonotonicClock

/** Runs calls of plain services. */
interface ServiceExecution {
    /** Runs [request] and returns its whole answer. */
    suspend fun run(work: Work.ServiceCall, request: ServiceRequest): Either<Failure, ServiceAnswer>
}

/** Runs each call once, at the endpoint that [chooser] names. */
class SingleAttemptServiceExecution(
    private val chooser: EndpointChooser,
    private val services: ServiceClient,
    private val clock: MonotonicClock,
) : ServiceExecution {
    override suspend fun run(work: Work.ServiceCall, request: ServiceRequest): Either<Failure, ServiceAnswer> =
        chooser.choose(work, emptySet()).flatMap { chosen ->
            val started = clock.now()
            var failed = true
            try {
                services.call(chosen.endpoint, request).onRight {
                    failed = false
                    chosen.answered(clock.now() - started)
                }
            } finally {
                chosen.finished(failed)
            }
        }
}
