package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.roles.RoleBalancer
import kotlin.math.ceil

/**
 * How many endpoints a service needs over all data centres.
 *
 * @property total with all that are ordered
 * @property afterLoss without the interruptible endpoints of any one data centre
 */
data class EndpointRequirement(val total: Int, val afterLoss: Int)

/**
 * Computes the number of engines that a demand needs.
 *
 * Load pattern: a prompt takes 60 to 300 ms of an engine and its objective is 400 to 1,200 ms, so that few prompts may
 * wait for another one. Instances choose engines without knowing each other's latest choices, and prefer those that
 * have a prompt's parts cached: the busiest engine has 1.5 to 2.5 times the load of the mean one. Engines therefore run
 * far below their speed on average.
 *
 * @param tokensPerMillisecond the prefill speed of an engine. Engines prefill 50 to 61 tokens per ms; where 15 in 100
 * are 2.5 times slower for moments, 45 remain of 50
 */
class EngineCapacity(
    private val tokensPerMillisecond: Double = DEFAULT_TOKENS_PER_MILLISECOND,
    private val balancer: RoleBalancer = RoleBalancer(),
) {
    /** Returns the requirement for [demand] at engines with [slots], of which [maximum] may be ordered at all. */
    fun computeRequirement(demand: FleetDemand, slots: Int, maximum: Int): EndpointRequirement = EndpointRequirement(
        total = maxOf(countEngines(demand, slots, UTILIZATION), roundUp(maximum * MINIMUM_SHARE)),
        afterLoss = maxOf(
            countEngines(demand, slots, UTILIZATION_AFTER_LOSS),
            roundUp(maximum * MINIMUM_SHARE_AFTER_LOSS),
        ),
    )

    private fun countEngines(demand: FleetDemand, slots: Int, utilization: Double): Int {
        val decodeShares = balancer.findDecodeShares(slots)
        val prefillEngines = demand.promptTokensPerMillisecond / (tokensPerMillisecond * utilization)
        val decodeEngines = demand.outputSlots / (maxOf(1, slots) * utilization)
        val prefillShare = (1 - decodeShares.endInclusive).coerceAtLeast(MINIMUM_PREFILL_SHARE)
        return roundUp(maxOf(prefillEngines / prefillShare, decodeEngines / decodeShares.start))
    }

    private fun roundUp(engines: Double): Int = ceil(engines).toInt()

    private companion object {
        const val DEFAULT_TOKENS_PER_MILLISECOND = 45.0

        /** At this utilization the busiest engine is loaded to the full only when it has twice the mean load. */
        const val UTILIZATION = 0.5

        /**
         * For the seconds until endpoints elsewhere have started. With 0.65 the prompts whose cached parts were lost
         * exceeded the capacity in SizingReplaySpec.
         */
        const val UTILIZATION_AFTER_LOSS = 0.55

        /** Prompt caches live in the engines, and demand may grow faster than engines start. */
        const val MINIMUM_SHARE = 0.5
        const val MINIMUM_SHARE_AFTER_LOSS = 0.4
        const val MINIMUM_PREFILL_SHARE = 0.3
    }
}

/**
 * A way to run interruptible endpoints.
 *
 * @property limits the greatest number in each data centre
 * @property steady the steady endpoints of all data centres
 */
internal class InterruptibleRange(
    private val policy: ScalingPolicy,
    private val limits: Map<DataCentreId, Int>,
    private val steady: Int,
) {
    private val cheapestFirst = limits.keys.sortedWith(compareBy(policy::findPrice).thenBy { it.value })

    /** Returns the cheapest numbers that meet [requirement], or null when the limits are too low. */
    fun findCheapest(requirement: EndpointRequirement): Map<DataCentreId, Int>? =
        (0..(limits.values.maxOrNull() ?: 0)).mapNotNull { most -> fill(requirement, most) }.minByOrNull(::computePrice)

    /** Fills the cheapest data centres with at most [most] each, so that all but [most] suffice after a loss. */
    private fun fill(requirement: EndpointRequirement, most: Int): Map<DataCentreId, Int>? {
        var missing = maxOf(0, maxOf(requirement.total, requirement.afterLoss + most) - steady)
        val filled = cheapestFirst.associateWith { dataCentre ->
            minOf(missing, most, limits.getValue(dataCentre)).also { missing -= it }
        }
        return filled.takeIf { missing == 0 }
    }

    private fun computePrice(counts: Map<DataCentreId, Int>): Double =
        counts.entries.sumOf { (dataCentre, count) -> count * policy.findPrice(dataCentre) }
}
