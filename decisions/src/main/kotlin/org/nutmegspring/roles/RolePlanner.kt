package org.nutmegspring.roles

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * When roles are changed.
 *
 * @property horizon an allocation is judged by the demand of this long
 * @property payback the time for which the mix is taken to hold, within which a change has to pay
 * @property changeTime the time for which a change takes an engine away, draining included
 * @property gainOverLoss how many times the expected gain must exceed the engine time that the change costs
 * @property changesAtOnce the most engines that change at the same time
 * @property growth the factor by which the demand may grow without a change becoming necessary
 */
data class RolePlanSetting(
    val horizon: Duration = 240.seconds,
    val payback: Duration = 600.seconds,
    val changeTime: Duration = 20.seconds,
    val gainOverLoss: Double = 1.5,
    val changesAtOnce: Int = 2,
    val growth: Double = 1.15,
)

/**
 * Decides how many engines of one model have each role.
 *
 * An allocation is judged by the mean share that it would have served of the demand over the horizon, so a swing that
 * is shorter than the horizon does not change roles and is left to mixed engines.
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
     * Returns the roles that the engines should have next, which is [current] when no change is worth its cost.
     * [changing] engines are under way to their roles, which [current] counts as reached.
     */
    fun plan(current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        val covered = samples.firstOrNull()?.let { time - it.time } ?: return current
        if (changing > 0 || covered < setting.horizon / 2) return current
        val now = served(current)
        val target = possibleRoleCounts(current.total)
            .maxBy { served(it) * it.total - loss(current.changesTo(it)) * setting.gainOverLoss }
        val gain = (served(target) - now) * current.total
        if (gain <= loss(current.changesTo(target)) * setting.gainOverLoss) return current
        return possibleRoleCounts(current.total)
            .filter { current.changesTo(it) <= setting.changesAtOnce }
            .minWith(compareBy({ it.changesTo(target) }, { -served(it) }))
    }

    /** Returns the loss of [changes], in engines over the time that the change has to pay. */
    private fun loss(changes: Int): Double =
        changes * setting.changeTime.toDouble(DurationUnit.SECONDS) / setting.payback.toDouble(DurationUnit.SECONDS)

    private fun served(counts: RoleCounts): Double = samples.sumOf {
        val demand = it.demand
        capacity.servedShare(
            counts,
            demand.copy(
                prefillTokens = demand.prefillTokens * setting.growth,
                outputTokens = demand.outputTokens * setting.growth,
            ),
        )
    } / samples.size
}
