package org.nutmegspring.gateway.endpoints

import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.restraint.EndpointProcess
import org.nutmegspring.restraint.LeavingProcesses
import kotlin.time.Duration

/** What endpoints asked this instance for in their answers. Each instance goes by the answers that it got itself. */
class EndpointRestraints(private val log: DecisionLog) {
    private val leaving = LeavingProcesses()

    /** Returns how long [endpoint] gets no new work; infinite if its process is leaving. */
    fun timeUntilWork(endpoint: ServingEndpoint): Duration =
        if (processOf(endpoint) in leaving) Duration.INFINITE else Duration.ZERO

    /** Records the answer of [endpoint]. An answer of another endpoint at its address says nothing about it. */
    fun recordAnswer(endpoint: ServingEndpoint, answer: AnswerFacts) {
        if (answer.isOtherEndpoint) return
        answer.unreadable.forEach { log.record(DecisionEvent.Skipped("a header of an answer of ${endpoint.id}", it)) }
        if (answer.isLeaving && leaving.record(processOf(endpoint))) {
            log.record(DecisionEvent.EndpointRestrained(endpoint.id, "leaving", null))
        }
    }

    private fun processOf(endpoint: ServingEndpoint) = EndpointProcess(endpoint.id, endpoint.address, endpoint.bornAt)
}
