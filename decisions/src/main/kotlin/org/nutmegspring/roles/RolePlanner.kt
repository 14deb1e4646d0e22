package org.nutmegspring.roles

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Controls when a [RolePlanner] changes roles.
 *
 * @property horizon the period of past demand by which an allocation is rated
 * @property paybackPeriod the time for which the mix is assumed to last, within which a change has to pay off
 * @property changeDuration the time for which a change takes an engine out of service, including draining
 * @property costWeight how many times the expected gain must exceed the engine time that the change costs
 * @property maxConcurrentChanges the maximum number of engines that change at the same time
 * @property demandGrowthFactor the factor by which the demand may grow before a change becomes necessary
 */
data class RolePlanSetting(
    val horizon: Duration = 240.seconds,
    val paybackPeriod: Duration = 600.seconds,
    val changeDuration: Duration = 20.seconds,
    val costWeight: Double = 1.5,
    val maxConcurrentChanges: Int = 2,
    val demandGrowthFactor: Double = 1.15,
)

/**
 * Decides how many engines of one model have each role.
 *
 * An allocation is rated by the mean share of the demand that it would have served over the horizon. A swing that is
 * shorter than the horizon therefore changes no roles and is left to mixed engines.
 */
class RolePlanner(private val capacity: RoleCapacity, private val setting: RolePlanSetting = RolePlanSetting()) {
    private class Sample(val time: MonotonicTime, val demand: RoleDemand)

    private val samples = ArrayDeque<Sample>()

    /** Records the [demand] at [time]. */
    fun observe(demand: RoleDemand, time: MonotonicTime) {
        samples.addLast(Sample(time, demand))
        while (time - samples.first().time > setting.horizon) samples.removeFirst()
    }

    /**
     * Returns the roles that the engines should have next, which is [current] when no change is worth its cost. While
     * [changing] engines have not completed their change, which [current] counts as done, no further change is planned.
     */
    fun plan(current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        val observed = samples.firstOrNull()?.let { time - it.time } ?: return current
        if (changing > 0 || observed < setting.horizon / 2) return current
        val currentShare = estimateServedShare(current)
        val target = listPossibleRoleCounts(current.total)
            .maxBy { estimateServedShare(it) * it.total - computeCost(current.countChangesTo(it)) * setting.costWeight }
        val gain = (estimateServedShare(target) - currentShare) * current.total
        if (gain <= computeCost(current.countChangesTo(target)) * setting.costWeight) return current
        return listPossibleRoleCounts(current.total)
            .filter { current.countChangesTo(it) <= setting.maxConcurrentChanges }
            .minWith(compareBy({ it.countChangesTo(target) }, { -estimateServedShare(it) }))
    }

    /** Returns the cost of [changes], as a number of engines lost over the payback period. */
    private fun computeCost(changes: Int): Double = changes *
        setting.changeDuration.toDouble(DurationUnit.SECONDS) / setting.paybackPeriod.toDouble(DurationUnit.SECONDS)

    private fun estimateServedShare(counts: RoleCounts): Double = samples.sumOf {
        val demand = it.demand
        capacity.estimateServedShare(
            counts,
            demand.copy(
                prefillTokens = demand.prefillTokens * setting.demandGrowthFactor,
                outputTokens = demand.outputTokens * setting.demandGrowthFactor,
            ),
        )
    } / samples.size
}
