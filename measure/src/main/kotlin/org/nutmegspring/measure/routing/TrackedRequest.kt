package org.nutmegspring.measure.routing

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.measure.engine.EngineJob
import org.nutmegspring.measure.engine.EngineJobListener
import org.nutmegspring.measure.engine.EngineModel
import org.nutmegspring.measure.engine.JobPart
import org.nutmegspring.measure.roles.RoleDemandMeter
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.routing.Placement
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Follows a request through its engines and tells [outcomes], when it is not null, how it went. */
class TrackedRequest(
    private val request: OfferedRequest,
    private val schedule: VirtualSchedule,
    private val outcomes: RequestOutcomes?,
    origin: DataCentreId,
    private val demandMeter: RoleDemandMeter,
    private val placed: (TrackedRequest, Placement) -> Unit,
) : EngineJobListener,
    EntryModel.HeldRequest {
    private val arrival = schedule.now()
    private var firstToken = MonotonicTime.ZERO
    private var continuation: (() -> Unit)? = null

    override val demand = GenerationDemand(request.pieces.toList(), request.promptTokens, request.outputTokens, origin)

    override val organisation: OrganisationId get() = request.organisation

    override fun onOffered(placement: Placement) =
        demandMeter.count(placement.expectedUncachedTokens, request.outputTokens)

    override fun onPlaced(placement: Placement) = placed(this, placement)

    override fun onRefused() {
        outcomes?.refused()
    }

    /** Starts the request at [prefill] and goes on at [decode] when that is another engine. */
    fun start(prefill: EngineModel, decode: EngineModel, costs: EngineCosts) {
        if (prefill === decode) {
            prefill.submit(job(JobPart.WHOLE))
            return
        }
        val near = prefill.dataCentre == decode.dataCentre
        val each =
            if (near) costs.sameDataCentreTransferSecondsPerPiece else costs.crossDataCentreTransferSecondsPerPiece
        val transfer = (each * request.promptTokens / TOKENS_PER_PIECE).seconds
        continuation = { schedule.after(transfer) { decode.submit(job(JobPart.DECODE)) } }
        prefill.submit(job(JobPart.PREFILL))
    }

    override fun onFirstToken(time: MonotonicTime, cachedTokens: Int) {
        firstToken = time
        outcomes?.firstToken(secondsBetween(arrival, time), request.promptTokens, cachedTokens)
    }

    override fun onFinished(time: MonotonicTime) {
        val next = continuation
        if (next != null) {
            continuation = null
            next()
            return
        }
        val gap = secondsBetween(firstToken, time) / maxOf(1, request.outputTokens - 1)
        outcomes?.finished(request.organisation, secondsBetween(arrival, firstToken), gap)
    }

    private fun job(part: JobPart): EngineJob =
        EngineJob(request.pieces, request.promptTokens, request.outputTokens, part, this)

    private fun secondsBetween(start: MonotonicTime, end: MonotonicTime): Double =
        (end - start).toDouble(DurationUnit.SECONDS)
}
