package org.nutmegspring.routing

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime

/**
 * The load of one engine as seen by one instance: the last load report plus the work that this
 * instance has sent since.
 *
 * @property slot the index of the engine in its [FleetView]
 */
class EngineView internal constructor(
    val slot: Int,
    val id: EndpointId,
    val dataCentre: DataCentreId,
    private val costs: EngineCosts,
    private val health: EndpointHealth,
    private val totals: UnreportedWorkTotals,
) {
    /** Whether the engine last reported that it is changing its role or model. */
    var isChanging: Boolean = false
        private set

    /** Whether the engine is about to stop. */
    var isDeparting: Boolean = false

    /** Whether the engine's load reports cannot be read. */
    var isUnreachable: Boolean = false

    /** The role that the engine last reported. */
    var role: EngineRole = EngineRole.MIXED
        private set

    private val ownWork = UnreportedWork(totals)
    private val scaledWork = UnreportedWork(null)
    private var reportedTokens = 0.0
    private var reportedStreams = 0.0
    private var measuredAt = MonotonicTime.ZERO

    /** Whether the role of the engine includes prefill. */
    val canPrefill: Boolean get() = role != EngineRole.DECODE

    /** Whether the role of the engine includes decode. */
    val canDecode: Boolean get() = role != EngineRole.PREFILL

    /** Returns whether the engine is available for new requests at [now] and not ruled out by [exclusion]. */
    fun canAccept(now: MonotonicTime, exclusion: Exclusion): Boolean =
        !isChanging && !isDeparting && id !in exclusion.engines && !(exclusion.excludeFailing && isFailing(now))

    private fun isFailing(now: MonotonicTime): Boolean = isUnreachable || !health.canSend(now)

    /** Replaces the known load by [report], which was measured at [measurementTime]. */
    internal fun applyReport(report: LoadReport, measurementTime: MonotonicTime) {
        role = report.target.role
        isChanging = report.changing
        reportedTokens = report.queuedPromptTokens.toDouble()
        reportedStreams = (report.activeStreams + report.queuedRequests).toDouble()
        measuredAt = measurementTime
        ownWork.removeBefore(measurementTime)
        scaledWork.removeBefore(measurementTime)
    }

    /**
     * Records work that this instance sends at [time]. The scaled load counts it [multiple] times, because other
     * instances see the same report and are likely to choose the same engine.
     */
    internal fun recordDispatch(tokens: Double, streams: Double, multiple: Int, time: MonotonicTime) {
        ownWork.add(tokens, streams, time)
        scaledWork.add(tokens * multiple, streams * multiple, time)
    }

    /** Removes the recorded work of an engine that is no longer in the fleet. */
    internal fun clearWork() {
        ownWork.clear()
        scaledWork.clear()
    }

    /**
     * Returns the running and waiting streams for the comparison of engines, assuming that other instances send the
     * same work to this engine as this instance.
     */
    fun scaledStreams(): Double = reportedStreams + scaledWork.streams

    /**
     * Returns the expected running and waiting streams, assuming that other instances send as much as this instance,
     * spread evenly over the engines.
     */
    fun expectedStreams(): Double = reportedStreams + ownWork.streams + totals.streamsFromOthers

    /**
     * Returns the queued prompt tokens at [now] for the comparison of engines, assuming that other instances send the
     * same work to this engine as this instance.
     */
    fun scaledQueuedTokens(now: MonotonicTime): Double = remainingTokens(reportedTokens + scaledWork.tokens, now)

    /**
     * Returns the expected queued prompt tokens at [now]: the larger of the scaled estimate and the one that assumes
     * that other instances send as much as this instance, spread evenly over the engines.
     */
    fun expectedQueuedTokens(now: MonotonicTime): Double =
        remainingTokens(reportedTokens + maxOf(scaledWork.tokens, ownWork.tokens + totals.tokensFromOthers), now)

    private fun remainingTokens(tokens: Double, now: MonotonicTime): Double {
        val elapsed = (now - measuredAt).inWholeNanoseconds / NANOSECONDS_PER_SECOND
        return maxOf(0.0, tokens - elapsed * costs.computePrefillTokensPerSecond(reportedStreams))
    }

    /**
     * Returns the load in seconds: the time to prefill the queue plus the time of [LOAD_ITERATIONS] decode iterations.
     */
    fun loadSeconds(now: MonotonicTime): Double =
        costs.computePrefillSeconds(scaledQueuedTokens(now), 0.0) +
            costs.computeIterationSeconds(0.0, scaledStreams()) * LOAD_ITERATIONS

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
        const val LOAD_ITERATIONS = 10
    }
}

/**
 * Totals over all engines of the work that this instance sent and that is not yet included in any load report, and the
 * resulting estimate of the work that other instances sent in the same period.
 */
internal class UnreportedWorkTotals {
    var engines = 0
    var instances = 1
    var tokens = 0.0
    var streams = 0.0

    /** The unreported prompt tokens that other instances are expected to have sent to each engine. */
    val tokensFromOthers: Double get() = if (engines == 0) 0.0 else tokens * (instances - 1) / engines

    /** The unreported streams that other instances are expected to have sent to each engine. */
    val streamsFromOthers: Double get() = if (engines == 0) 0.0 else streams * (instances - 1) / engines
}

/** Work that was sent to an engine after its last report was measured. It is also added to [totals]. */
private class UnreportedWork(private val totals: UnreportedWorkTotals?) {
    private val dispatches = ArrayDeque<Dispatch>()

    var tokens = 0.0
        private set

    var streams = 0.0
        private set

    fun add(tokens: Double, streams: Double, time: MonotonicTime) {
        dispatches.addLast(Dispatch(time, tokens, streams))
        adjustTotals(tokens, streams)
        if (dispatches.size > MAXIMUM_DISPATCHES) subtract(dispatches.removeFirst())
    }

    fun removeBefore(time: MonotonicTime) {
        while (dispatches.isNotEmpty() && dispatches.first().time < time) subtract(dispatches.removeFirst())
    }

    private fun subtract(dispatch: Dispatch) {
        adjustTotals(-dispatch.tokens, -dispatch.streams)
    }

    private fun adjustTotals(addedTokens: Double, addedStreams: Double) {
        tokens += addedTokens
        streams += addedStreams
        totals?.let { it.tokens += addedTokens }
        totals?.let { it.streams += addedStreams }
    }

    fun clear() {
        while (dispatches.isNotEmpty()) subtract(dispatches.removeFirst())
    }

    private class Dispatch(val time: MonotonicTime, val tokens: Double, val streams: Double)

    private companion object {
        const val MAXIMUM_DISPATCHES = 1_024
    }
}
