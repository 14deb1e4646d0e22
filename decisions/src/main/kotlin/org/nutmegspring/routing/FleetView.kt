package org.nutmegspring.routing

import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/**
 * What one instance knows of the engines that run one model. It is not safe for concurrent use.
 *
 * @property costs what the engines spend on their work
 */
class FleetView(
    val costs: EngineCosts,
    instances: Int = 1,
    cachedPieceCapacity: Int = DEFAULT_CACHED_PIECES,
) {
    private val unreported = UnreportedTotal().also { it.instances = instances }
    private val byId = HashMap<EndpointId, EngineView>()
    private val slots = ArrayList<EngineView?>()
    private val present = ArrayList<EngineView>()

    /** How many instances send to the same engines, this one included. */
    var instances: Int
        get() = unreported.instances
        set(count) {
            unreported.instances = count
        }

    /** Where pieces are believed to be cached. */
    val cache: CacheIndex = CacheIndex(cachedPieceCapacity)

    internal val placement = HashPlacement()

    /** The engines in no particular order. */
    val engines: List<EngineView> get() = present

    /** Returns the engine [id], or null when it is not known. */
    fun find(id: EndpointId): EngineView? = byId[id]

    internal fun at(slot: Int): EngineView? = slots.getOrNull(slot)

    /** Adds the engine [id]. Adding it again changes nothing. */
    fun add(
        id: EndpointId,
        dataCentre: DataCentreId,
        health: EndpointHealth = EndpointHealth(),
    ): EngineView = byId.getOrPut(id) {
        val free = slots.indexOf(null)
        val slot = if (free >= 0) free else slots.size
        val engine = EngineView(slot, id, dataCentre, costs, health, unreported)
        if (free >= 0) slots[slot] = engine else slots.add(engine)
        present.add(engine)
        unreported.engines = present.size
        placement.add(slot, stableHash(id))
        engine
    }

    /** Removes the engine [id] and what was known of its cache. */
    fun remove(id: EndpointId) {
        val engine = byId.remove(id) ?: return
        slots[engine.slot] = null
        present.remove(engine)
        engine.forget()
        unreported.engines = present.size
        placement.remove(engine.slot)
        cache.clear(engine.slot)
    }

    /** Applies [report], received at [now] and about as old as [lag]. */
    fun apply(report: LoadReport, now: MonotonicTime, lag: Duration) {
        val engine = byId[report.engine] ?: return
        engine.apply(report, now - lag)
        report.cachedPieces.forEach { cache.record(it.piece, engine.slot, it.present) }
    }

    /** Returns the placement of [demand] at [prefill] and [decode] with what is expected of it at [now]. */
    fun placement(demand: GenerationDemand, prefill: EngineView, decode: EngineView, now: MonotonicTime): Placement {
        val uncached = demand.uncachedTokens(cache.leadingPieces(demand, prefill.slot))
        val waiting = prefill.expectedTokens(now)
        val share = minOf(decode.expectedTokens(now), costs.prefillTokensPerIteration.toDouble())
        return Placement(
            prefill = prefill,
            decode = decode,
            expectedUncachedTokens = uncached,
            expectedFirstToken = costs.prefill(waiting + uncached, prefill.expectedStreams()),
            leastFirstToken = costs.prefill(uncached.toDouble(), 0.0),
            expectedGap = costs.iteration(share, decode.expectedStreams() + 1),
        )
    }

    /** Counts that [demand] goes to [placement] at [now], before any report can show it. */
    fun sent(demand: GenerationDemand, placement: Placement, now: MonotonicTime) {
        val multiple = instances.coerceIn(1, MAXIMUM_MULTIPLE)
        val tokens = placement.expectedUncachedTokens.toDouble()
        if (placement.prefill === placement.decode) {
            placement.prefill.sent(tokens, 1.0, multiple, now)
        } else {
            placement.prefill.sent(tokens, 0.0, multiple, now)
            placement.decode.sent(0.0, 1.0, multiple, now)
        }
        demand.pieces.forEach { cache.record(it, placement.prefill.slot, true) }
    }

    private fun stableHash(id: EndpointId): Long =
        id.value.fold(0L) { hash, character -> hash * HASH_FACTOR + character.code }

    private companion object {
        const val MAXIMUM_MULTIPLE = 8
        const val DEFAULT_CACHED_PIECES = 65_536
        const val HASH_FACTOR = 1_099_511_628_211L
    }
}
