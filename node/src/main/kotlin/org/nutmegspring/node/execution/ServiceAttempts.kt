package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.execution.RetryDecision
import org.nutmegspring.execution.RetryPolicy
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceCaller
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.ChosenEndpoint
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.node.routing.Work
import org.nutmegspring.time.MonotonicClock

/** Tells whether work may still be sent. It is asked directly before each sending. */
fun interface SendPermission {
    /** Returns false when too much time has passed since the work was claimed. */
    fun maySend(): Boolean
}

/** Sends calls of plain services to endpoints and moves those that may move to another endpoint when one fails. */
class ServiceAttempts(
    private val chooser: EndpointChooser,
    private val services: ServiceCaller,
    private val clock: MonotonicClock,
    private val policy: RetryPolicy,
) {
    /** Runs [request] and returns its whole answer. */
    suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        permission: SendPermission = SendPermission { true },
    ): Either<Failure, ServiceAnswer> {
        policy.recordRequest()
        val failed = HashSet<EndpointId>()
        var lastFailure: Failure? = null
        while (true) {
            val chosen = chooser.choose(work, failed).fold(
                { return overall(it, lastFailure).left() },
                { it },
            )
            val outcome = if (permission.maySend()) attempt(chosen, request) else expired(chosen)
            val failure = outcome.fold({ it }, { return it.right() })
            failed.add(chosen.endpoint.id)
            lastFailure = overall(failure, lastFailure)
            when (val next = policy.decideAfterFailure(lastFailure, work.isRepeatable, failed.size)) {
                is RetryDecision.Retry -> Unit
                is RetryDecision.GiveUp -> return next.failure.left()
            }
        }
    }

    private suspend fun attempt(chosen: ChosenEndpoint, request: ServiceRequest): Either<Failure, ServiceAnswer> {
        val startedAt = clock.now()
        var failed = true
        try {
            return services.call(chosen.endpoint, request).onRight {
                failed = false
                chosen.recordFirstAnswer(clock.now() - startedAt)
            }
        } finally {
            chosen.recordCompletion(failed)
        }
    }

    private fun expired(chosen: ChosenEndpoint): Either<Failure, ServiceAnswer> {
        chosen.recordCompletion(false)
        return Failure(Step.SEND, Peer.SELF, Effect.NOT_RUN, "too much time passed since the claim").left()
    }

    /** An attempt that had no effect does not undo that the outcome of an [earlier] one is unknown. */
    private fun overall(failure: Failure, earlier: Failure?): Failure =
        if (earlier?.effect == Effect.UNKNOWN) failure.copy(effect = Effect.UNKNOWN) else failure
}
