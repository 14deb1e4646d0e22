package org.nutmegspring.routing

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/** Routes by the expected delay of a request's tokens and of the prefill that it adds. */
internal class ExpectedDelayRouter(
    private val fleet: FleetView,
    private val policy: RoutingPolicy.ExpectedDelay,
    private val random: Random,
) : Router {
    private val costs = fleet.costs
    private val prefillers = CandidateSet(fleet)
    private val decoders = CandidateSet(fleet)

    override fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Placement? {
        prefillers.collect(demand, policy.sample, random) { it.prefills && it.accepts(now, exclusion) }
        if (prefillers.size == 0) return null
        val decoder = decoder(demand, now, exclusion)
        val scores = DoubleArray(prefillers.size) { score(prefillers.engine(it), decoder, demand, now) }
        val prefill = prefillers.engine(drawNearLeast(scores) ?: return null)
        val decode = if (prefill.decodes) prefill else checkNotNull(decoder).engine
        return fleet.placement(demand, prefill, decode, now)
    }

    private fun score(engine: EngineView, decoder: Decoder?, demand: GenerationDemand, now: MonotonicTime): Double {
        val prefill = prefillSeconds(engine, demand, now)
        if (engine.decodes) return prefill + tokenCost(engine, now)
        decoder ?: return Double.POSITIVE_INFINITY
        return prefill + decoder.cost + transferSeconds(engine.dataCentre, decoder.engine.dataCentre, demand)
    }

    private fun prefillSeconds(engine: EngineView, demand: GenerationDemand, now: MonotonicTime): Double {
        val uncached = demand.uncachedTokens(fleet.cache.leadingPieces(demand, engine.slot))
        val added = costs.prefill(uncached.toDouble(), engine.streams())
        val waiting = costs.prefill(engine.queuedTokens(now), engine.streams())
        val request = if (engine.dataCentre == demand.origin) 0.0 else costs.farRequestSeconds
        return waiting + added * (1 + policy.missWeight) + request
    }

    private fun tokenCost(engine: EngineView, now: MonotonicTime): Double {
        val prefillTokens = minOf(engine.queuedTokens(now), costs.prefillTokensPerIteration.toDouble())
        val gap = costs.iteration(prefillTokens, engine.streams() + 1)
        val steady = costs.iteration(0.0, engine.streams() + 1)
        return policy.streamWeight * steady + policy.gapWeight * maxOf(0.0, gap - policy.gapSeconds)
    }

    private fun transferSeconds(from: DataCentreId, to: DataCentreId, demand: GenerationDemand): Double {
        val pieces = demand.promptTokens.toDouble() / TOKENS_PER_PIECE
        val each = if (from == to) costs.nearTransferSecondsPerPiece else costs.farTransferSecondsPerPiece
        return pieces * each
    }

    /** Returns the best engine that only generates or does both, for prompts processed elsewhere. */
    private fun decoder(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Decoder? {
        if (!hasPrefillOnly()) return null
        decoders.collect(demand, policy.sample, random) { it.decodes && it.accepts(now, exclusion) }
        if (decoders.size == 0) return null
        val scores = DoubleArray(decoders.size) {
            val engine = decoders.engine(it)
            tokenCost(engine, now) + transferSeconds(demand.origin, engine.dataCentre, demand)
        }
        val chosen = drawNearLeast(scores) ?: return null
        return Decoder(decoders.engine(chosen), tokenCost(decoders.engine(chosen), now))
    }

    private fun hasPrefillOnly(): Boolean = (0 until prefillers.size).any { !prefillers.engine(it).decodes }

    private fun drawNearLeast(scores: DoubleArray): Int? {
        val least = scores.min()
        if (least == Double.POSITIVE_INFINITY) return null
        val bound = least + policy.nearEqualSeconds
        var drawn = 0
        var chosen = 0
        for (index in scores.indices) {
            if (scores[index] <= bound && random.nextInt(++drawn) == 0) chosen = index
        }
        return chosen
    }

    private class Decoder(val engine: EngineView, val cost: Double)
}
