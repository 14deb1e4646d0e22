package org.nutmegspring.measure.roles

import org.nutmegspring.roles.RoleCapacity
import org.nutmegspring.roles.RoleCounts
import org.nutmegspring.roles.RoleDemand
import org.nutmegspring.roles.RolePlanSetting
import org.nutmegspring.roles.RolePlanner
import org.nutmegspring.time.MonotonicTime

/** Counts the changes of a control. */
abstract class CountingControl : RoleControl {
    /** How many engines have changed. */
    var changes: Int = 0
        private set

    override fun onChanges(count: Int) {
        changes += count
    }
}

/** Never changes roles. Records the demand. */
class FixedControl(override val initial: RoleCounts) : CountingControl() {
    /** The demand of each step. */
    val recorded = ArrayList<RoleDemand>()

    override fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        recorded += demand
        return current
    }
}

/** Follows the planner. */
class PlannedControl(
    override val initial: RoleCounts,
    capacity: RoleCapacity,
    setting: RolePlanSetting = RolePlanSetting(),
) : CountingControl() {
    private val planner = RolePlanner(capacity, setting)

    override fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        planner.observe(demand, time)
        return planner.plan(current, changing, time)
    }
}

/** Moves one engine to prefill or to decode whenever the other side has less use of its capacity by a fixed margin. */
class ThresholdControl(override val initial: RoleCounts, private val capacity: RoleCapacity) : CountingControl() {
    override fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        if (changing > 0) return current
        val prefill = current.prefill * capacity.estimatePrefillShare(demand)
        val decode = current.decode * capacity.estimateDecodeShare(demand)
        return when {
            prefill < decode * (1 - MARGIN) && current.decode > 1 -> {
                current.copy(prefill = current.prefill + 1, decode = current.decode - 1)
            }

            decode < prefill * (1 - MARGIN) && current.prefill > 1 -> {
                current.copy(prefill = current.prefill - 1, decode = current.decode + 1)
            }

            else -> {
                current
            }
        }
    }

    private companion object {
        const val MARGIN = 0.2
    }
}

/** Plans as the planner does, from the demand that is to come instead of the demand that was. */
class ForesightControl(
    override val initial: RoleCounts,
    capacity: RoleCapacity,
    private val future: List<RoleDemand>,
    private val setting: RolePlanSetting = RolePlanSetting(),
) : CountingControl() {
    private val planner = RolePlanner(capacity, setting)
    private var position = 0

    override fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
        if (position == 0) future.take(HORIZON_STEPS).forEach { planner.observe(it, time) }
        future.getOrNull(position + HORIZON_STEPS)?.let { planner.observe(it, time) }
        position++
        return planner.plan(current, changing, time)
    }

    private companion object {
        const val HORIZON_STEPS = 48
    }
}
