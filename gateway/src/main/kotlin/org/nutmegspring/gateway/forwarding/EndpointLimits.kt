package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.endpoints.ColdEndpoints
import org.nutmegspring.gateway.endpoints.EndpointLimit
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.ColdEndpointReport
import org.nutmegspring.gateway.peers.EndpointLimitReport
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.gateway.wire.LoadStatement
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.limits.ColdSource
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the limits that endpoints name in their answers, and logs their changes. */
class EndpointLimits(
    private val endpoints: EndpointTable,
    private val clock: MonotonicClock,
    private val cold: ColdEndpoints? = null,
    private val log: DecisionLog,
) {
    private var nextReported = 0
    private var nextColdReported = 0
    private val loggedCold = HashMap<EndpointId, ColdSource>()

    /** The current time, to pass to [recordAnswer]. */
    fun now(): MonotonicTime = clock.now()

    /** Counts a request that is about to be sent to [endpoint]. Returns false if its limit permits none. */
    fun tryAcquire(endpoint: EndpointId): Boolean = endpoints.tryAcquire(endpoint)

    /**
     * Counts a call to [endpoint] other than a request of a caller, such as a probe. Returns false if it is cold and
     * has no turn open.
     */
    fun tryContact(endpoint: EndpointId): Boolean = endpoints.tryContact(endpoint)

    /** Records the answer of [endpoint] to a request that was sent at [sentAt]. */
    fun recordAnswer(endpoint: EndpointId, answer: AnswerFacts, sentAt: MonotonicTime) {
        if (answer.isOtherEndpoint) return
        recordLoad(endpoint, answer.load)
        endpoints.findState(endpoint)?.let { cold?.recordAnswer(it, answer.remainingColdTime, sentAt) }
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

    /** Applies what another instance reports of a cold endpoint, unless it means another process. */
    fun applyColdReport(report: ColdEndpointReport) {
        val state = endpoints.findState(report.endpoint) ?: return
        if (state.endpoint.bornAt != report.bornAt) return
        val remaining = report.remaining.coerceIn(0, MAXIMUM_COLD_MILLISECONDS).milliseconds
        state.coldness.recordPeer(remaining, report.age.coerceAtLeast(0).milliseconds, clock.now())
    }

    /** Returns [count] cold endpoints, and those that were cold until lately, in turn when there are more. */
    fun nextColdReports(count: Int): List<ColdEndpointReport> {
        val now = clock.now()
        val told = endpoints.allStates().filter { cold?.isLimited(it.endpoint.service) ?: false }.mapNotNull { state ->
            state.coldness.shareableAge(WARM_RETENTION, now)?.let { age ->
                val remaining = state.coldness.statedRemaining(now).inWholeMilliseconds
                ColdEndpointReport(state.endpoint.id, state.endpoint.bornAt, remaining, age.inWholeMilliseconds)
            }
        }
        val reported = List(minOf(count, told.size)) { told[(nextColdReported + it) % told.size] }
        nextColdReported += reported.size
        return reported
    }

    /** The endpoints that are treated as cold. */
    fun countCold(): Int = endpoints.allStates().count { cold?.findAllowance(it) != null }

    /** Logs the endpoints that are treated as cold since the last call, and those that are not any more. */
    fun logCold() {
        val driver = cold ?: return
        val states = endpoints.allStates()
        val allowances = states.mapNotNull { state -> driver.findAllowance(state)?.let { state to it } }
        for ((state, allowance) in allowances) {
            val source = driver.findSource(state)
            if (loggedCold.put(state.endpoint.id, source) == source) continue
            log.record(DecisionEvent.EndpointColdChanged(state.endpoint.id, source, allowance))
        }
        val current = allowances.map { it.first.endpoint.id }.toSet()
        loggedCold.keys.filter { it !in current }.forEach {
            loggedCold.remove(it)
            log.record(DecisionEvent.EndpointColdChanged(it, null, null))
        }
    }

    private fun change(endpoint: EndpointId, apply: (EndpointLimit) -> Boolean) {
        val limit = endpoints.findState(endpoint)?.limit ?: return
        val previous = limit.requestsPerSecond
        if (apply(limit)) {
            log.record(DecisionEvent.EndpointLimitChanged(endpoint, limit.requestsPerSecond, previous))
        }
    }

    private companion object {
        /** The other instances have heard by then that the endpoint is warm, even if some reports were lost. */
        val WARM_RETENTION = 5.seconds

        /** Far above any cold time; a faulty report must not keep an endpoint cold for long. */
        const val MAXIMUM_COLD_MILLISECONDS = 600_000L
    }
}
