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
) {
    /** Whether the engine takes new work of any kind. */
    var accepting: Boolean = true
        internal set

    /** The role that the engine last reported. */
    var role: EngineRole = EngineRole.MIXED
        internal set

    private val unreported = ArrayDeque<Dispatch>()
    private var unreportedTokens = 0.0
    private var unreportedStreams = 0.0
    private var reportedTokens = 0.0
    private var reportedStreams = 0.0
    private var measuredAt = MonotonicTime.ZERO

    /** Whether the engine can process prompts. */
    val prefills: Boolean get() = accepting && role != EngineRole.DECODE

    /** Whether the engine can generate. */
    val decodes: Boolean get() = accepting && role != EngineRole.PREFILL

    /** Replaces the known load by [report], which describes the engine as it was at [measured]. */
    internal fun apply(report: LoadReport, measured: MonotonicTime) {
        role = report.target.role
        accepting = !report.changing
        reportedTokens = report.queuedPromptTokens.toDouble()
        reportedStreams = (report.activeStreams + report.queuedRequests).toDouble()
        measuredAt = measured
        while (unreported.isNotEmpty() && unreported.first().time < measured) forget(unreported.removeFirst())
    }

    /**
     * Counts work that this instance sends at [time], [multiple] times over for the instances that see the same report
     * and so send alike.
     */
    internal fun sent(tokens: Double, streams: Double, multiple: Int, time: MonotonicTime) {
        val dispatch = Dispatch(time, tokens * multiple, streams * multiple)
        unreported.addLast(dispatch)
        unreportedTokens += dispatch.tokens
        unreportedStreams += dispatch.streams
        if (unreported.size > MAXIMUM_UNREPORTED) forget(unreported.removeFirst())
    }

    private fun forget(dispatch: Dispatch) {
        unreportedTokens -= dispatch.tokens
        unreportedStreams -= dispatch.streams
    }

    /** Returns the expected number of running and waiting streams. */
    fun streams(): Double = reportedStreams + unreportedStreams

    /** Returns the prompt tokens that are expected to wait at [now], after what was processed since the report. */
    fun queuedTokens(now: MonotonicTime): Double {
        val elapsed = (now - measuredAt).inWholeNanoseconds / NANOSECONDS_PER_SECOND
        val processed = elapsed * costs.prefillTokensPerSecond(reportedStreams)
        return maxOf(0.0, reportedTokens + unreportedTokens - processed)
    }

    /** Returns the load in seconds: the wait for prefill plus what one token takes all streams together. */
    fun loadSeconds(now: MonotonicTime): Double =
        costs.prefill(queuedTokens(now), 0.0) + costs.iteration(0.0, streams()) * LOAD_TOKENS

    private class Dispatch(val time: MonotonicTime, val tokens: Double, val streams: Double)

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
        const val MAXIMUM_UNREPORTED = 1_024
        const val LOAD_TOKENS = 10
    }
}
