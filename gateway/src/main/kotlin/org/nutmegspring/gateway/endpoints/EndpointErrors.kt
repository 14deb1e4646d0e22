package org.nutmegspring.gateway.endpoints

import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.routing.ErrorOutliers
import org.nutmegspring.time.MonotonicClock

/** Avoids endpoints that answer with errors more often than the others of their service. */
class EndpointErrors(
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    private val outliers = HashMap<ServiceId, ErrorOutliers>()

    /** How often an endpoint was found to fail more often than the others, since the process started. */
    var avoidedCount: Long = 0
        private set

    /** Records that the endpoint of [state] answered a request with [status]. */
    fun recordAnswer(state: EndpointState, status: Int) {
        val endpoint = state.endpoint
        val now = clock.now()
        val found = outliers.getOrPut(endpoint.service, ::ErrorOutliers)
        val until = found.record(endpoint.id, status >= FIRST_SERVER_ERROR, now) ?: return
        state.avoidFailing(until)
        avoidedCount++
        log.record(DecisionEvent.EndpointFailing(endpoint, status, until - now))
    }

    /** Forgets the answers of [endpoint], which has left or started anew. */
    fun forget(endpoint: ServingEndpoint) {
        outliers[endpoint.service]?.forget(endpoint.id)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
