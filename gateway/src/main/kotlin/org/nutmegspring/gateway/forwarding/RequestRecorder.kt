package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.observe.DecisionBasis
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.RequestOutcome
import org.nutmegspring.gateway.observe.RequestTrace
import org.nutmegspring.identity.RequestId
import org.nutmegspring.time.MonotonicClock

/** How a request ended. [status] is 0 when no answer was completed, and [reason] null when one was delivered. */
class RequestEnd(val outcome: RequestOutcome, val status: Int, val reason: String?)

/** Records the ends of requests in the log and the metrics, with what was known when they were decided. */
class RequestRecorder(
    private val currentConfiguration: CurrentConfiguration,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Records the end of [run]. */
    fun record(run: RequestRun, end: RequestEnd) {
        run.trace.elapsedMilliseconds = run.elapsedMilliseconds()
        record(run.id, run.admitted, end, run.trace)
    }

    /** Records the end of a request that was refused; [admitted] is null when it was not admitted. */
    fun recordRefused(id: RequestId?, admitted: AdmittedRequest?, end: RequestEnd) =
        record(id, admitted, end, RequestTrace())

    private fun record(id: RequestId?, admitted: AdmittedRequest?, end: RequestEnd, trace: RequestTrace) {
        metrics.recordEnd(admitted?.route, end.outcome, end.status, trace)
        val basis =
            DecisionBasis(currentConfiguration.configuration?.version, currentConfiguration.evidenceAge(clock.now()))
        log.record(
            DecisionEvent.RequestEnded(
                id,
                admitted?.route?.name,
                admitted?.organisation?.id,
                end.outcome,
                end.status,
                end.reason,
                trace,
                basis,
            ),
        )
    }
}
