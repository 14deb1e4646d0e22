package org.nutmegspring.gateway.endpoints

import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.restraint.EndpointPause
import org.nutmegspring.restraint.EndpointProcess
import org.nutmegspring.restraint.LeavingProcesses
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** What endpoints asked this instance for in their answers. Each instance goes by the answers that it got itself. */
class EndpointRestraints(private val clock: MonotonicClock, private val log: DecisionLog) {
    private val leaving = LeavingProcesses()

    /** The pauses that are not over, by endpoint: an entry that is removed and written again does not end one. */
    private val pauses = LinkedHashMap<EndpointId, EndpointPause>()

    /** Returns how long [endpoint] gets nothing; infinite if its process is leaving. */
    fun timeUntilWork(endpoint: ServingEndpoint): Duration = when {
        processOf(endpoint) in leaving -> Duration.INFINITE
        else -> pauses[endpoint.id]?.timeUntilRequest(clock.now()) ?: Duration.ZERO
    }

    /** Records that a request is about to be sent to [endpoint]. */
    fun recordRequest(endpoint: ServingEndpoint) {
        pauses[endpoint.id]?.recordRequest(clock.now())
    }

    /** Records how a request ended that was sent to [endpoint] at [sentAt], after [recordAnswer]. */
    fun recordOutcome(endpoint: ServingEndpoint, isSuccess: Boolean, sentAt: MonotonicTime) {
        val pause = pauses[endpoint.id] ?: return
        pause.recordOutcome(isSuccess, sentAt, clock.now())
        if (pause.isOver) pauses.remove(endpoint.id)
    }

    /** Records the answer of [endpoint]. An answer of another endpoint at its address says nothing about it. */
    fun recordAnswer(endpoint: ServingEndpoint, answer: AnswerFacts) {
        if (answer.isOtherEndpoint) return
        answer.unreadable.forEach { log.record(DecisionEvent.Skipped("a header of an answer of ${endpoint.id}", it)) }
        if (answer.isLeaving && leaving.record(processOf(endpoint))) {
            log.record(DecisionEvent.EndpointRestrained(endpoint.id, "leaving", null))
        }
        answer.retryAfter?.let { recordPause(endpoint.id, it) }
    }

    private fun recordPause(endpoint: EndpointId, asked: Duration) {
        pauses.getOrPut(endpoint) { EndpointPause() }.recordAsked(asked, clock.now())
        if (pauses.size > MAXIMUM_PAUSES) pauses.remove(pauses.keys.first())
        log.record(DecisionEvent.EndpointRestrained(endpoint, "pause", asked))
    }

    private fun processOf(endpoint: ServingEndpoint) = EndpointProcess(endpoint.id, endpoint.address, endpoint.bornAt)

    private companion object {
        /** Many times the endpoints of a deployment. */
        const val MAXIMUM_PAUSES = 1_000
    }
}
