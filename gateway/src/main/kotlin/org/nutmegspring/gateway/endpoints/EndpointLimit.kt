package org.nutmegspring.gateway.endpoints

import org.nutmegspring.time.MonotonicTime

/** The limit that one endpoint names in its answers, and the requests that this instance sends it meanwhile. */
class EndpointLimit {
    private var namedAt: MonotonicTime? = null

    /** The requests a second that the endpoint takes from all instances together, null without a limit. */
    var requestsPerSecond: Double? = null
        private set

    /** The requests of this instance that were sent since the limit was first named. */
    var sentRequests = 0L
        private set

    /** Records that a request is sent. */
    fun recordRequest() {
        if (requestsPerSecond != null) sentRequests++
    }

    /**
     * Records that the answer to a request sent at [sentAt] named [limit], or none. Returns whether the limit changed.
     * An answer to a request from before the limit was named does not lift it: answers overtake each other.
     */
    fun recordAnswer(limit: Double?, sentAt: MonotonicTime, now: MonotonicTime): Boolean {
        val isLifted = limit == null && namedAt?.let { sentAt >= it } ?: false
        if (limit == requestsPerSecond || (limit == null && !isLifted)) return false
        if (requestsPerSecond == null || limit == null) sentRequests = 0
        if (limit != null) namedAt = now
        requestsPerSecond = limit
        return true
    }

    /** Forgets the limit, because another process answers now. */
    fun reset() {
        requestsPerSecond = null
        namedAt = null
        sentRequests = 0
    }
}
