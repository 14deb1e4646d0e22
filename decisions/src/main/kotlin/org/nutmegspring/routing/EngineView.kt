package org.nutmegspring.routing

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime

/**
 * What one instance knows of one engine: the last load report, and what this instance has sent since.
 *
 * @property slot a small number that is unique among the engines of a [FleetView]
 */
class EngineView internal constructor(
    val slot: Int,
    val id: EndpointId,
    val dataCentre: DataCentreId,
    private val costs: EngineCosts,
    private val health: EndpointHealth,
    private val others: UnreportedTotal,
) {
    /** Whether the engine last reported that it changes its role or model. */
    var changing: Boolean = false
        private set

    /** Whether the engine is about to stop. */
    var departing: Boolean = false

    /** Whether the engine's reports cannot be read. */
    var unreachable: Boolean = false

    /** The role that the engine last reported. */
    var role: EngineRole = EngineRole.MIXED
        private set

    private val own = UnreportedWork(others)
    private val alike = UnreportedWork(null)
    private var reportedTokens = 0.0
    private var reportedStreams = 0.0
    private var measuredAt = MonotonicTime.ZERO

    /** Whether the engine processes prompts. */
    val prefills: Boolean get() = role != EngineRole.DECODE

    /** Whether the engine generates. */
    val decodes: Boolean get() = role != EngineRole.PREFILL

    /** Whether the engine takes new work at [now]. */
    fun accepts(now: MonotonicTime, exclusion: Exclusion): Boolean =
        !changing && !departing && id !in exclusion.engines && !(exclusion.failing && fails(now))

    private fun fails(now: MonotonicTime): Boolean = unreachable || !health.permits(now)

    /** Replaces the known load by [report], which describes the engine as it was at [measured]. */
    internal fun apply(report: LoadReport, measured: MonotonicTime) {
        role = report.target.role
        changing = report.changing
        reportedTokens = report.queuedPromptTokens.toDouble()
        reportedStreams = (report.activeStreams + report.queuedRequests).toDouble()
        measuredAt = measured
        own.dropBefore(measured)
        alike.dropBefore(measured)
    }

    /**
     * Counts work that this instance sends at [time], [multiple] times over for the instances that see the same report
     * and so send alike.
     */
    internal fun sent(tokens: Double, streams: Double, multiple: Int, time: MonotonicTime) {
        own.add(tokens, streams, time)
        alike.add(tokens * multiple, streams * multiple, time)
    }

    /** Forgets what was sent, because the engine is gone. */
    internal fun forget() {
        own.clear()
        alike.clear()
    }

    /** Returns the running and waiting streams that are to be reckoned with when engines are compared. */
    fun streams(): Double = reportedStreams + alike.streams

    /** Returns the expected running and waiting streams, when other instances send alike on average. */
    fun expectedStreams(): Double = reportedStreams + own.streams + others.streamsOfOthers

    /** Returns the prompt tokens that are to be reckoned with at [now] when engines are compared. */
    fun queuedTokens(now: MonotonicTime): Double = remainingTokens(reportedTokens + alike.tokens, now)

    /** Returns the prompt tokens expected to wait at [now], when other instances send alike on average. */
    fun expectedTokens(now: MonotonicTime): Double =
        remainingTokens(reportedTokens + maxOf(alike.tokens, own.tokens + others.tokensOfOthers), now)

    private fun remainingTokens(tokens: Double, now: MonotonicTime): Double {
        val elapsed = (now - measuredAt).inWholeNanoseconds / NANOSECONDS_PER_SECOND
        return maxOf(0.0, tokens - elapsed * costs.prefillTokensPerSecond(reportedStreams))
    }

    /** Returns the load in seconds: the wait for prefill plus what one token takes all streams together. */
    fun loadSeconds(now: MonotonicTime): Double =
        costs.prefill(queuedTokens(now), 0.0) + costs.iteration(0.0, streams()) * LOAD_TOKENS

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
        const val LOAD_TOKENS = 10
    }
}

/** The work that this instance sent to all engines and that no report can show, and what others sent meanwhile. */
internal class UnreportedTotal {
    var engines = 0
    var instances = 1
    var tokens = 0.0
    var streams = 0.0

    /** The prompt tokens that other instances are expected to have sent to each engine. */
    val tokensOfOthers: Double get() = if (engines == 0) 0.0 else tokens * (instances - 1) / engines

    /** The streams that other instances are expected to have sent to each engine. */
    val streamsOfOthers: Double get() = if (engines == 0) 0.0 else streams * (instances - 1) / engines
}

/** Work that was sent to an engine and that its last report cannot show. It counts in [total] too. */
private class UnreportedWork(private val total: UnreportedTotal?) {
    private val dispatches = ArrayDeque<Dispatch>()

    var tokens = 0.0
        private set

    var streams = 0.0
        private set

    fun add(tokens: Double, streams: Double, time: MonotonicTime) {
        dispatches.addLast(Dispatch(time, tokens, streams))
        count(tokens, streams)
        if (dispatches.size > MAXIMUM_DISPATCHES) drop(dispatches.removeFirst())
    }

    fun dropBefore(time: MonotonicTime) {
        while (dispatches.isNotEmpty() && dispatches.first().time < time) drop(dispatches.removeFirst())
    }

    private fun drop(dispatch: Dispatch) {
        count(-dispatch.tokens, -dispatch.streams)
    }

    private fun count(addedTokens: Double, addedStreams: Double) {
        tokens += addedTokens
        streams += addedStreams
        total?.let { it.tokens += addedTokens }
        total?.let { it.streams += addedStreams }
    }

    fun clear() {
        while (dispatches.isNotEmpty()) drop(dispatches.removeFirst())
    }

    private class Dispatch(val time: MonotonicTime, val tokens: Double, val streams: Double)

    private companion object {
        const val MAXIMUM_DISPATCHES = 1_024
    }
}
