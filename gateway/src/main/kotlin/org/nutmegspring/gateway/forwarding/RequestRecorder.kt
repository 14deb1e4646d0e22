package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.http.UnansweredRequest
import org.nutmegspring.gateway.observe.DecisionBasis
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.EventLoopDelay
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.PlannedStopLog
import org.nutmegspring.gateway.observe.RequestOutcome
import org.nutmegspring.gateway.observe.RequestTrace
import org.nutmegspring.gateway.observe.StopPhase
import org.nutmegspring.identity.RequestId
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock

/** How a request ended. [status] is 0 when no answer was completed, and [reason] null when one was delivered. */
class RequestEnd(val outcome: RequestOutcome, val status: Int, val reason: String?)

/** Records the ends of requests in the log and the metrics, with what was known when they were decided. */
class RequestRecorder(
    private val currentConfiguration: CurrentConfiguration,
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val loopDelay: EventLoopDelay,
    private val stop: PlannedStopLog,
) {
    /** Records the end of [run]. */
    fun record(run: RequestRun, end: RequestEnd) {
        run.trace.elapsedMilliseconds = run.elapsedMilliseconds()
        run.trace.answerBytes = run.exchange.sentBytes
        run.trace.unwrittenBytes = run.exchange.unwrittenBytes
        record(run.id, run.admitted, end, run.trace)
    }

    /** Records the end of a request that was refused; [admitted] is null when it was not admitted. */
    fun recordRefused(id: RequestId?, admitted: AdmittedRequest?, end: RequestEnd) =
        record(id, admitted, end, RequestTrace())

    /** Records that [request], which had [id], was read and got no answer. */
    fun recordUnanswered(id: RequestId?, request: UnansweredRequest) {
        stop.recordUnanswered()
        val event =
            DecisionEvent.RequestUnanswered(id, request.peer, request.waited, request.isClosedByCaller, createBasis())
        log.record(event)
    }

    /** Records that a request was refused because it may outlast the planned stop. */
    fun recordStopRefusal() = stop.enter(StopPhase.REFUSING)

    private fun record(id: RequestId?, admitted: AdmittedRequest?, end: RequestEnd, trace: RequestTrace) {
        stop.recordEnd(end.outcome)
        metrics.recordEnd(admitted?.route, end.outcome, end.status, trace)
        log.record(
            DecisionEvent.RequestEnded(
                id,
                admitted?.route?.name,
                admitted?.organisation?.id,
                end.outcome,
                end.status,
                end.reason,
                trace,
                createBasis(),
            ),
        )
    }

    private fun createBasis() = DecisionBasis(
        currentConfiguration.configuration?.version,
        currentConfiguration.evidenceAge(ages),
        stop.progress,
        loopDelay.readDelay(clock.now()),
    )
}
