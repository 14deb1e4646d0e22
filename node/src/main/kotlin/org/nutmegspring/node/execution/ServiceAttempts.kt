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

/** Decides whether a request may still be sent. It is checked directly before each send. */
fun interface SendPermission {
    /** Returns false once too much time has passed since the request was claimed, or its ticket has expired. */
    fun canSend(): Boolean
}

/** Sends calls of plain services to endpoints. When an endpoint fails, calls that may be retried go to another one. */
class ServiceAttempts(
    private val chooser: EndpointChooser,
    private val services: ServiceCaller,
    private val clock: MonotonicClock,
    private val policy: RetryPolicy,
) {
    /** Runs [request] and returns its complete answer. */
    suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        permission: SendPermission = SendPermission { true },
    ): Either<Failure, ServiceAnswer> {
        policy.recordRequest()
        val excluded = HashSet<EndpointId>()
        var lastFailure: Failure? = null
        while (true) {
            val chosen = chooser.choose(work, excluded).fold(
                { return combineWithEarlier(it, lastFailure).left() },
                { it },
            )
            val outcome = if (permission.canSend()) attempt(chosen, request) else rejectExpired(chosen)
            val failure = outcome.fold({ it }, { return it.right() })
            excluded.add(chosen.endpoint.id)
            lastFailure = combineWithEarlier(failure, lastFailure)
            when (val next = policy.decideAfterFailure(lastFailure, work.isRepeatable, excluded.size)) {
                is RetryDecision.Retry -> Unit
                is RetryDecision.GiveUp -> return next.failure.left()
            }
        }
    }

    private suspend fun attempt(chosen: ChosenEndpoint, request: ServiceRequest): Either<Failure, ServiceAnswer> {
        val startedAt = clock.now()
        var hasFailed = true
        try {
            return services.call(chosen.endpoint, request).onRight {
                hasFailed = false
                chosen.recordFirstAnswer(clock.now() - startedAt)
            }
        } finally {
            chosen.recordCompletion(hasFailed)
        }
    }

    private fun rejectExpired(chosen: ChosenEndpoint): Either<Failure, ServiceAnswer> {
        chosen.recordCompletion(false)
        return Failure(Step.SEND, Peer.SELF, Effect.NOT_RUN, "the request was not sent before its deadline").left()
    }

    /** Keeps the effect unknown if that of an [earlier] attempt is unknown, even if the last attempt had no effect. */
    private fun combineWithEarlier(failure: Failure, earlier: Failure?): Failure =
        if (earlier?.effect == Effect.UNKNOWN) failure.copy(effect = Effect.UNKNOWN) else failure
}
