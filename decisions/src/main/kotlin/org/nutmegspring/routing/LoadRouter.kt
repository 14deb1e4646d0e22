package org.nutmegspring.routing

import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/** Routes by the policies that compare engines by their load. */
internal class LoadRouter(
    private val fleet: FleetView,
    private val policy: RoutingPolicy,
    private val random: Random,
) : Router {
    override fun choose(demand: GenerationDemand, now: MonotonicTime, exclusion: Exclusion): Placement? {
        val eligible = fleet.engines.filter { it.prefills && it.accepts(now, exclusion) }
        if (eligible.isEmpty()) return null
        val prefill = when (policy) {
            is RoutingPolicy.TwoChoices -> twoChoices(eligible, now)
            is RoutingPolicy.BoundedHash -> boundedHash(eligible, policy, demand, now)
            is RoutingPolicy.CacheVotes -> cacheVotes(eligible, policy, demand, now)
            is RoutingPolicy.LeastLoaded, is RoutingPolicy.ExpectedDelay -> leastLoaded(eligible, now)
        }
        val decode = if (prefill.decodes) prefill else decoder(prefill, now, exclusion) ?: return null
        return fleet.placement(demand, prefill, decode, now)
    }

    private fun leastLoaded(engines: List<EngineView>, now: MonotonicTime): EngineView =
        engines.minBy { it.loadSeconds(now) }

    private fun decoder(prefill: EngineView, now: MonotonicTime, exclusion: Exclusion): EngineView? =
        fleet.engines
            .filter { it.decodes && it.accepts(now, exclusion) }
            .minWithOrNull(compareBy({ it.loadSeconds(now) }, { it.dataCentre != prefill.dataCentre }))

    private fun twoChoices(engines: List<EngineView>, now: MonotonicTime): EngineView {
        val one = engines[random.nextInt(engines.size)]
        val other = engines[random.nextInt(engines.size)]
        return if (other.loadSeconds(now) < one.loadSeconds(now)) other else one
    }

    private fun boundedHash(
        engines: List<EngineView>,
        policy: RoutingPolicy.BoundedHash,
        demand: GenerationDemand,
        now: MonotonicTime,
    ): EngineView {
        val bound = policy.loadBound * engines.sumOf { it.loadSeconds(now) } / engines.size
        val first = demand.pieces.firstOrNull() ?: return leastLoaded(engines, now)
        val homes = listOf(fleet.placement.home(first), fleet.placement.alternative(first))
        return homes.firstNotNullOfOrNull { home -> engines.find { it.slot == home && it.loadSeconds(now) <= bound } }
            ?: leastLoaded(engines, now)
    }

    private fun cacheVotes(
        engines: List<EngineView>,
        policy: RoutingPolicy.CacheVotes,
        demand: GenerationDemand,
        now: MonotonicTime,
    ): EngineView {
        val average = engines.sumOf { it.loadSeconds(now) } / engines.size
        val sampled = demand.pieces.filter { it.countTrailingZeroBits() >= policy.sampleBits }
        val best = engines
            .filter { it.loadSeconds(now) <= policy.overload * average }
            .maxByOrNull { weightedVotes(it, sampled, average, now) }
        val votes = best?.let { weightedVotes(it, sampled, average, now) } ?: 0.0
        if (best != null && votes > 0 && votes >= policy.benefit * sampled.size / engines.size) return best
        return boundedHash(engines, RoutingPolicy.BoundedHash(policy.overload), demand, now)
    }

    private fun weightedVotes(engine: EngineView, pieces: List<Long>, average: Double, now: MonotonicTime): Double {
        val votes = pieces.count { fleet.cache.holders(it)?.hasSlot(engine.slot) == true }
        return votes / maxOf(1.0, engine.loadSeconds(now) / average)
    }
}
