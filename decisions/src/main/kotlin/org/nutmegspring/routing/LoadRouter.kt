package org.nutmegspring.routing

import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/** Routes by the policies that compare engines by [EngineView.loadSeconds]. */
internal class LoadRouter(
    private val fleet: FleetView,
    private val policy: RoutingPolicy,
    private val random: Random,
) : Router {
    override fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Placement? {
        val eligible = fleet.engines.filter { it.canPrefill && it.canAccept(now, exclusion) }
        if (eligible.isEmpty()) return null
        val prefill = when (policy) {
            is RoutingPolicy.TwoChoices -> chooseOfTwo(eligible, now)
            is RoutingPolicy.BoundedHash -> chooseByBoundedHash(eligible, policy, demand, now)
            is RoutingPolicy.CacheVotes -> chooseByCacheVotes(eligible, policy, demand, now)
            is RoutingPolicy.LeastLoaded, is RoutingPolicy.ExpectedDelay -> chooseLeastLoaded(eligible, now)
        }
        val decode = if (prefill.canDecode) prefill else chooseDecoder(prefill, now, exclusion) ?: return null
        return fleet.createPlacement(demand, prefill, decode, now)
    }

    private fun chooseLeastLoaded(engines: List<EngineView>, now: MonotonicTime): EngineView =
        engines.minBy { it.loadSeconds(now) }

    private fun chooseDecoder(prefill: EngineView, now: MonotonicTime, exclusion: Exclusion): EngineView? =
        fleet.engines
            .filter { it.canDecode && it.canAccept(now, exclusion) }
            .minWithOrNull(compareBy({ it.loadSeconds(now) }, { it.dataCentre != prefill.dataCentre }))

    private fun chooseOfTwo(engines: List<EngineView>, now: MonotonicTime): EngineView {
        val one = engines[random.nextInt(engines.size)]
        val other = engines[random.nextInt(engines.size)]
        return if (other.loadSeconds(now) < one.loadSeconds(now)) other else one
    }

    private fun chooseByBoundedHash(
        engines: List<EngineView>,
        policy: RoutingPolicy.BoundedHash,
        demand: GenerationDemand,
        now: MonotonicTime,
    ): EngineView {
        val bound = policy.loadBound * engines.sumOf { it.loadSeconds(now) } / engines.size
        val first = demand.pieces.firstOrNull() ?: return chooseLeastLoaded(engines, now)
        val assignedSlots = listOf(fleet.hashPlacement.findPrimary(first), fleet.hashPlacement.findSecondary(first))
        return assignedSlots
            .firstNotNullOfOrNull { slot -> engines.find { it.slot == slot && it.loadSeconds(now) <= bound } }
            ?: chooseLeastLoaded(engines, now)
    }

    private fun chooseByCacheVotes(
        engines: List<EngineView>,
        policy: RoutingPolicy.CacheVotes,
        demand: GenerationDemand,
        now: MonotonicTime,
    ): EngineView {
        val average = engines.sumOf { it.loadSeconds(now) } / engines.size
        val votingPieces = demand.pieces.filter { it.countTrailingZeroBits() >= policy.sampleBits }
        val best = engines
            .filter { it.loadSeconds(now) <= policy.loadBound * average }
            .maxByOrNull { computeWeightedVotes(it, votingPieces, average, now) }
        val votes = best?.let { computeWeightedVotes(it, votingPieces, average, now) } ?: 0.0
        if (best != null && votes > 0 && votes >= policy.voteThreshold * votingPieces.size / engines.size) return best
        return chooseByBoundedHash(engines, RoutingPolicy.BoundedHash(policy.loadBound), demand, now)
    }

    private fun computeWeightedVotes(
        engine: EngineView,
        pieces: List<Long>,
        average: Double,
        now: MonotonicTime,
    ): Double {
        val votes = pieces.count { fleet.cache.findHolders(it)?.hasSlot(engine.slot) == true }
        return votes / maxOf(1.0, engine.loadSeconds(now) / average)
    }
}
