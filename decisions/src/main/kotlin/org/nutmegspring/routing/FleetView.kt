package org.nutmegspring.routing

import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * The engines that run one model, as seen by one instance. Not safe for concurrent use.
 *
 * @property costs the cost model of the engines
 */
class FleetView(
    val costs: EngineCosts,
    instances: Int = 1,
    cachedPieceCapacity: Int = DEFAULT_CACHED_PIECE_CAPACITY,
) {
    private val unreportedTotals = UnreportedWorkTotals().also { it.instances = instances }
    private val enginesById = HashMap<EndpointId, EngineView>()
    private val slots = ArrayList<EngineView?>()
    private val presentEngines = ArrayList<EngineView>()

    /** The number of instances that send to the same engines, including this one. */
    var instances: Int
        get() = unreportedTotals.instances
        set(count) {
            unreportedTotals.instances = count
        }

    /** Which engines are believed to have which pieces cached. */
    val cache: CacheIndex = CacheIndex(cachedPieceCapacity)

    internal val hashPlacement = HashPlacement()

    /** The engines, in no particular order. */
    val engines: List<EngineView> get() = presentEngines

    /** Returns the engine [id], or null if it is not known. */
    fun find(id: EndpointId): EngineView? = enginesById[id]

    internal fun engineAtSlot(slot: Int): EngineView? = slots.getOrNull(slot)

    /** Adds the engine [id], or returns the existing view if it is already known. */
    fun add(
        id: EndpointId,
        dataCentre: DataCentreId,
        health: EndpointHealth = EndpointHealth(),
    ): EngineView = enginesById.getOrPut(id) {
        val freeSlot = slots.indexOf(null)
        val slot = if (freeSlot >= 0) freeSlot else slots.size
        val engine = EngineView(slot, id, dataCentre, costs, health, unreportedTotals)
        if (freeSlot >= 0) slots[slot] = engine else slots.add(engine)
        presentEngines.add(engine)
        unreportedTotals.engines = presentEngines.size
        hashPlacement.add(slot, computeStableHash(id))
        engine
    }

    /** Removes the engine [id] and its entries in the cache index. */
    fun remove(id: EndpointId) {
        val engine = enginesById.remove(id) ?: return
        slots[engine.slot] = null
        presentEngines.remove(engine)
        engine.clearWork()
        unreportedTotals.engines = presentEngines.size
        hashPlacement.remove(engine.slot)
        cache.clearSlot(engine.slot)
    }

    /** Applies [report], received at [now] and measured about [lag] earlier. Reports of unknown engines are ignored. */
    fun applyReport(report: LoadReport, now: MonotonicTime, lag: Duration) {
        val engine = enginesById[report.engine] ?: return
        engine.applyReport(report, now - lag)
        report.cachedPieces.forEach { cache.record(it.piece, engine.slot, it.present) }
    }

    /** Returns the placement of [demand] on [prefill] and [decode] with its expected latency at [now]. */
    fun createPlacement(
        demand: GenerationDemand,
        prefill: EngineView,
        decode: EngineView,
        now: MonotonicTime,
    ): Placement {
        val uncached = demand.countUncachedTokens(cache.countLeadingPieces(demand, prefill.slot))
        val queued = prefill.expectedQueuedTokens(now)
        val prefillTokens = minOf(decode.expectedQueuedTokens(now), costs.prefillTokensPerIteration.toDouble())
        return Placement(
            prefill = prefill,
            decode = decode,
            expectedUncachedTokens = uncached,
            expectedFirstTokenSeconds = costs.computePrefillSeconds(queued + uncached, prefill.expectedStreams()),
            minimumFirstTokenSeconds = costs.computePrefillSeconds(uncached.toDouble(), 0.0),
            expectedInterTokenSeconds = costs.computeIterationSeconds(prefillTokens, decode.expectedStreams() + 1),
        )
    }

    /** Records that [demand] is sent to [placement] at [now], before any load report includes it. */
    fun recordDispatch(demand: GenerationDemand, placement: Placement, now: MonotonicTime) {
        val multiple = instances.coerceIn(1, MAXIMUM_DISPATCH_MULTIPLE)
        val tokens = placement.expectedUncachedTokens.toDouble()
        if (placement.prefill === placement.decode) {
            placement.prefill.recordDispatch(tokens, 1.0, multiple, now)
        } else {
            placement.prefill.recordDispatch(tokens, 0.0, multiple, now)
            placement.decode.recordDispatch(0.0, 1.0, multiple, now)
        }
        demand.pieces.forEach { cache.record(it, placement.prefill.slot, true) }
    }

    private fun computeStableHash(id: EndpointId): Long =
        id.value.fold(0L) { hash, character -> hash * FNV_PRIME + character.code }

    private companion object {
        const val MAXIMUM_DISPATCH_MULTIPLE = 8
        const val DEFAULT_CACHED_PIECE_CAPACITY = 65_536
        const val FNV_PRIME = 1_099_511_628_211L
    }
}
