package org.nutmegspring.routing

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/** Routes by the expected latency of a request, including the delay that its prefill causes to other requests. */
internal class ExpectedDelayRouter(
    private val fleet: FleetView,
    private val policy: RoutingPolicy.ExpectedDelay,
    private val random: Random,
) : Router {
    private val costs = fleet.costs
    private val prefillers = CandidateSet(fleet)
    private val decoders = CandidateSet(fleet)

    override fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Placement? {
        prefillers.collect(demand, policy.sampleSize, random) { it.canPrefill && it.canAccept(now, exclusion) }
        if (prefillers.size == 0) return null
        val decoder = chooseDecoder(demand, now, exclusion)
        val scores = DoubleArray(prefillers.size) { scorePrefiller(prefillers.engineAt(it), decoder, demand, now) }
        val prefill = prefillers.engineAt(drawNearMinimum(scores) ?: return null)
        val decode = if (prefill.canDecode) prefill else checkNotNull(decoder).engine
        return fleet.createPlacement(demand, prefill, decode, now)
    }

    private fun scorePrefiller(
        engine: EngineView,
        decoder: Decoder?,
        demand: GenerationDemand,
        now: MonotonicTime,
    ): Double {
        val prefill = computePrefillCost(engine, demand, now)
        if (engine.canDecode) return prefill + computeDecodeCost(engine, now)
        decoder ?: return Double.POSITIVE_INFINITY
        return prefill + decoder.cost + computeTransferSeconds(engine.dataCentre, decoder.engine.dataCentre, demand)
    }

    private fun computePrefillCost(engine: EngineView, demand: GenerationDemand, now: MonotonicTime): Double {
        val uncached = demand.countUncachedTokens(fleet.cache.countLeadingPieces(demand, engine.slot))
        val added = costs.computePrefillSeconds(uncached.toDouble(), engine.scaledStreams())
        val waiting = costs.computePrefillSeconds(engine.scaledQueuedTokens(now), engine.scaledStreams())
        val roundTrip = if (engine.dataCentre == demand.origin) 0.0 else costs.crossDataCentreRoundTripSeconds
        return waiting + added * (1 + policy.addedPrefillWeight) + roundTrip
    }

    private fun computeDecodeCost(engine: EngineView, now: MonotonicTime): Double {
        val prefillTokens = minOf(engine.scaledQueuedTokens(now), costs.prefillTokensPerIteration.toDouble())
        val interToken = costs.computeIterationSeconds(prefillTokens, engine.scaledStreams() + 1)
        val decodeOnly = costs.computeIterationSeconds(0.0, engine.scaledStreams() + 1)
        return policy.decodeTokenWeight * decodeOnly +
            policy.interTokenExcessWeight * maxOf(0.0, interToken - policy.interTokenThresholdSeconds)
    }

    private fun computeTransferSeconds(from: DataCentreId, to: DataCentreId, demand: GenerationDemand): Double {
        val pieces = demand.promptTokens.toDouble() / TOKENS_PER_PIECE
        val secondsPerPiece =
            if (from == to) {
                costs.sameDataCentreTransferSecondsPerPiece
            } else {
                costs.crossDataCentreTransferSecondsPerPiece
            }
        return pieces * secondsPerPiece
    }

    /**
     * Chooses the engine that decodes after a prefill on another engine. Returns null if no candidate for prefill is
     * limited to prefill, or if no engine is available for decode.
     */
    private fun chooseDecoder(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Decoder? {
        if (!hasPrefillOnlyCandidate()) return null
        decoders.collect(demand, policy.sampleSize, random) { it.canDecode && it.canAccept(now, exclusion) }
        if (decoders.size == 0) return null
        val scores = DoubleArray(decoders.size) {
            val engine = decoders.engineAt(it)
            computeDecodeCost(engine, now) + computeTransferSeconds(demand.origin, engine.dataCentre, demand)
        }
        val chosen = drawNearMinimum(scores) ?: return null
        return Decoder(decoders.engineAt(chosen), computeDecodeCost(decoders.engineAt(chosen), now))
    }

    private fun hasPrefillOnlyCandidate(): Boolean =
        (0 until prefillers.size).any { !prefillers.engineAt(it).canDecode }

    /**
     * Draws uniformly among the scores within the tie tolerance of the minimum and returns the index. Returns null if
     * all scores are infinite.
     */
    private fun drawNearMinimum(scores: DoubleArray): Int? {
        val minimum = scores.min()
        if (minimum == Double.POSITIVE_INFINITY) return null
        val bound = minimum + policy.tieToleranceSeconds
        var nearMinimum = 0
        var chosen = 0
        for (index in scores.indices) {
            if (scores[index] <= bound && random.nextInt(++nearMinimum) == 0) chosen = index
        }
        return chosen
    }

    private class Decoder(val engine: EngineView, val cost: Double)
}
