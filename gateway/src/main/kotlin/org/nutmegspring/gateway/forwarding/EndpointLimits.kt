package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime

/** Follows the limits that endpoints name in their answers, and logs their changes. */
class EndpointLimits(
    private val endpoints: EndpointTable,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    /** Records that a request is sent to [endpoint]. Returns the time. */
    fun recordRequest(endpoint: EndpointId): MonotonicTime {
        endpoints.findState(endpoint)?.limit?.recordRequest()
        return clock.now()
    }

    /** Records the answer of [endpoint] to a request that was sent at [sentAt]. */
    fun recordAnswer(endpoint: EndpointId, answer: AnswerFacts, sentAt: MonotonicTime) {
        if (answer.isOtherEndpoint) return
        val limit = endpoints.findState(endpoint)?.limit ?: return
        val previous = limit.requestsPerSecond
        if (limit.recordAnswer(answer.requestsPerSecond, sentAt, clock.now())) {
            log.record(DecisionEvent.EndpointLimitChanged(endpoint, limit.requestsPerSecond, previous))
        }
    }
}
