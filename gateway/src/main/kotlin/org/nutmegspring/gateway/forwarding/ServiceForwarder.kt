package org.nutmegspring.gateway.forwarding

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.gateway.configuration.isRepeatable
import org.nutmegspring.gateway.endpoints.EndpointErrors
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.http.withoutHopByHopHeaders
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.placement.ServicePlacement
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Forwards requests to endpoints of plain services; an answer is buffered whole before it is delivered. */
class ServiceForwarder(
    private val endpoints: EndpointTable,
    private val sender: EndpointSender,
    private val placement: ServicePlacement,
    private val retries: ServiceRetries,
    private val usage: UsageCounter,
    private val dataCentre: DataCentreId,
    private val clock: MonotonicClock,
    private val errors: EndpointErrors,
) {
    private class WholeAnswer(val head: AnswerHead, val body: ByteArray)

    private sealed interface Outcome {
        class Answered(val answer: WholeAnswer) : Outcome

        class Failed(val failure: Failure, val refusal: EndpointRefusal? = null) : Outcome
    }

    /** Serves [run]. */
    suspend fun serve(run: RequestRun): RunEnd {
        val service = run.admitted.service
        var last: RunEnd =
            endpoints.createUnplacedEnd(service, clock.now(), "no endpoint can take the request", RETRY_PAUSE)
        while (true) {
            val endpoint = choose(run) ?: return last
            val isFurther = run.trace.endpoints.isNotEmpty()
            if (isFurther && !retries.tryAcquire(run.admitted.service)) return last
            run.trace.endpoints += endpoint.endpoint.id
            run.excluded += endpoint.endpoint.id
            last = when (val outcome = attempt(run, endpoint)) {
                is Outcome.Answered -> {
                    val again = outcome.answer.head.isServerError && canRetryAnswered(run)
                    if (!again || !canRetryElsewhere(run)) return deliver(run, outcome.answer)
                    RunEnd.Failed("the endpoint answered ${outcome.answer.head.status}", isTimeout = false)
                }

                is Outcome.Failed -> {
                    run.recordFailure(endpoint, outcome.failure)
                    val end = createRunEnd(run, outcome)
                    if (!run.canRetry(outcome.failure.effect)) return end
                    end
                }
            }
        }
    }

    private fun choose(run: RequestRun): EndpointState? {
        val now = clock.now()
        val usable = endpoints.findUsable(run.admitted.service, now, run.excluded)
        val chosen = placement.choose(usable.map { it.toServiceCandidate(now) }, dataCentre) ?: return null
        return endpoints.findState(chosen)
    }

    private fun canRetryAnswered(run: RequestRun): Boolean =
        run.admitted.route.kind.isRepeatable && run.canRetry(Effect.UNKNOWN)

    private fun canRetryElsewhere(run: RequestRun): Boolean =
        retries.isRetryAllowed(run.admitted.service) &&
            endpoints.findUsable(run.admitted.service, clock.now(), run.excluded).isNotEmpty()

    private suspend fun attempt(run: RequestRun, endpoint: EndpointState): Outcome {
        endpoint.ownLoad.addRequest(tokens = 0)
        endpoint.health.recordStart(clock.now())
        val attemptStartedAt = clock.now()
        try {
            val outcome = awaitWithin(computeAttemptTimeout(run)) { send(run, endpoint) }
                ?: Outcome.Failed(run.timeoutFailure(endpoint.endpoint.address))
            recordOutcome(run, endpoint, outcome, clock.now() - attemptStartedAt)
            return outcome
        } finally {
            endpoint.ownLoad.removeRequest()
        }
    }

    private suspend fun send(run: RequestRun, endpoint: EndpointState): Outcome {
        val dispatch = run.createDispatch(endpoint, DispatchStage.Whole, run.admitted.facts.lastEvent)
        val startedAt = System.currentTimeMillis()
        val canReuse = run.admitted.route.kind.isRepeatable || endpoint.health.canSend(clock.now())
        return when (val started = sender.send(run.exchange.call, dispatch, canReuse)) {
            is AttemptStart.Failed -> {
                Outcome.Failed(started.failure, started.refusal)
            }

            is AttemptStart.Answering -> {
                usage.recordStart(run.admitted, startedAt)
                try {
                    started.answer.readBody(endpoint.endpoint.address).fold(
                        { Outcome.Failed(it) },
                        { Outcome.Answered(WholeAnswer(started.head, it)) },
                    )
                } finally {
                    started.answer.close()
                }
            }
        }
    }

    private fun recordOutcome(run: RequestRun, endpoint: EndpointState, outcome: Outcome, elapsed: Duration) {
        val now = clock.now()
        when (outcome) {
            is Outcome.Answered -> {
                endpoint.recordSuccess()
                errors.recordAnswer(endpoint, outcome.answer.head.status)
                endpoint.recordAnswer(run.admitted.route.objective * TYPICAL_OBJECTIVE_SHARE, elapsed, now)
            }

            is Outcome.Failed -> {
                when (outcome.refusal) {
                    null -> {
                        endpoint.recordUnanswered(now)
                    }

                    EndpointRefusal.BUSY -> {
                        endpoint.health.recordFailure(now)
                    }

                    EndpointRefusal.OTHER_ENDPOINT -> {
                        endpoint.isMisdirected = true
                        endpoint.health.recordFailure(now)
                    }

                    EndpointRefusal.LIMITED -> {
                        Unit
                    }
                }
            }
        }
    }

    /** Returns the timeout of one attempt: shorter than the time left while another attempt is possible. */
    private fun computeAttemptTimeout(run: RequestRun): Duration {
        val left = run.timeLeft()
        val hasAttemptsLeft =
            run.admitted.route.kind.isRepeatable && run.trace.endpoints.size < run.admitted.route.maximumAttempts
        return if (hasAttemptsLeft) minOf(left, run.admitted.route.objective * ATTEMPT_TIMEOUT_SHARE) else left
    }

    private fun deliver(run: RequestRun, answer: WholeAnswer): RunEnd {
        run.trace.framing = answer.head.framing
        val isNotRunStatus = answer.head.isNotRunStatus
        val isUnsignedSuccess = answer.head.isSuccess && !answer.head.facts.isSigned
        if (isNotRunStatus || isUnsignedSuccess) {
            run.mayHaveRun = true
            return RunEnd.Failed("the endpoint answered ${answer.head.status} without proof", isTimeout = false)
        }
        run.exchange.respond(answer.head.status, answer.head.headers.withoutHopByHopHeaders(), answer.body)
        return RunEnd.Delivered(answer.head.status)
    }

    private fun createRunEnd(run: RequestRun, failed: Outcome.Failed): RunEnd {
        val message = failed.failure.message
        if (run.mayHaveRun) return RunEnd.Failed(message, isTimeout = run.timeLeft() == Duration.ZERO)
        val untilTurn = endpoints.timeUntilTurn(run.admitted.service, clock.now())
        return RunEnd.NotRun(message, untilTurn?.takeIf { failed.refusal == EndpointRefusal.LIMITED } ?: RETRY_PAUSE)
    }

    private companion object {
        /** The typical answer time as a share of the objective. */
        const val TYPICAL_OBJECTIVE_SHARE = 0.3

        /** Share of the objective after which a second endpoint can still answer within about the objective. */
        const val ATTEMPT_TIMEOUT_SHARE = 0.8

        /** A full endpoint frees a slot after about one request. */
        val RETRY_PAUSE = 100.milliseconds
    }
}
