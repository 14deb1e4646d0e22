package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.endpoints.EndpointLimit
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.EndpointLimitReport
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.gateway.wire.LoadStatement
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** Keeps the limits that endpoints name in their answers, and logs their changes. */
class EndpointLimits(
    private val endpoints: EndpointTable,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    private var nextReported = 0

    /** The current time, to pass to [recordAnswer]. */
    fun now(): MonotonicTime = clock.now()

    /** Counts a request that is about to be sent to [endpoint]. Returns false if its limit permits none. */
    fun tryAcquire(endpoint: EndpointId): Boolean = endpoints.tryAcquire(endpoint)

    /** Records the answer of [endpoint] to a request that was sent at [sentAt]. */
    fun recordAnswer(endpoint: EndpointId, answer: AnswerFacts, sentAt: MonotonicTime) {
        if (answer.isOtherEndpoint) return
        recordLoad(endpoint, answer.load)
        change(endpoint) { it.recordAnswer(answer.requestsPerSecond, sentAt, clock.now()) }
    }

    private fun recordLoad(endpoint: EndpointId, load: LoadStatement) {
        val state = endpoints.findState(endpoint) ?: return
        when (load) {
            LoadStatement.None -> Unit

            is LoadStatement.Told -> load.workTimeRatio?.let { state.speed.recordTold(it, clock.now()) }

            is LoadStatement.Unreadable -> if (!state.hasUnreadableLoad) {
                state.hasUnreadableLoad = true
                log.record(DecisionEvent.Skipped("the load that $endpoint tells", "unreadable: ${load.text}"))
            }
        }
    }

    /** Applies what another instance reports. */
    fun applyReport(report: EndpointLimitReport) = change(report.endpoint) {
        it.applyPeerEvidence(report.requestsPerSecond, clock.now() - report.ageMilliseconds.milliseconds)
    }

    /** Returns [count] limits that answers told this instance, in turn when there are more. */
    fun nextReports(count: Int): List<EndpointLimitReport> {
        val now = clock.now()
        val told = endpoints.allStates().mapNotNull { state ->
            state.limit.ownEvidenceAge(now)?.let { age ->
                EndpointLimitReport(state.endpoint.id, state.limit.requestsPerSecond, age.inWholeMilliseconds)
            }
        }
        val reported = List(minOf(count, told.size)) { told[(nextReported + it) % told.size] }
        nextReported += reported.size
        return reported
    }

    private fun change(endpoint: EndpointId, apply: (EndpointLimit) -> Boolean) {
        val limit = endpoints.findState(endpoint)?.limit ?: return
        val previous = limit.requestsPerSecond
        if (apply(limit)) {
            log.record(DecisionEvent.EndpointLimitChanged(endpoint, limit.requestsPerSecond, previous))
        }
    }
}
