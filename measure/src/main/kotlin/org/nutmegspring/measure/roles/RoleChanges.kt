package org.nutmegspring.measure.roles

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.measure.engine.EngineModel
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.roles.RoleCounts
import org.nutmegspring.roles.RoleDemand
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** Decides the roles of a run. */
interface RoleControl {
    /** The roles at the start. */
    val initial: RoleCounts

    /** Returns the roles that the engines should have next. */
    fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts

    /** Tells that [count] engines begin to change. */
    fun onChanges(count: Int)
}

/** Collects the demand of an interval. */
class RoleDemandMeter {
    private val prompts = ArrayList<Int>()
    private var output = 0L

    /** Counts a request with [uncachedTokens] of prompt and [outputTokens]. */
    fun count(uncachedTokens: Int, outputTokens: Int) {
        prompts.add(uncachedTokens)
        output += outputTokens
    }

    /** Returns the demand of the last [seconds] and starts anew, or returns null when nothing was asked. */
    fun take(seconds: Double): RoleDemand? {
        if (prompts.isEmpty()) return null
        prompts.sort()
        val long = prompts[(prompts.size - 1) * LONG_PERCENT / HUNDRED]
        return RoleDemand(prompts.sum() / seconds, output / seconds, long.toDouble()).also {
            prompts.clear()
            output = 0
        }
    }

    private companion object {
        const val LONG_PERCENT = 95
        const val HUNDRED = 100
    }
}

/** Carries out what [control] decides: engines of the roles that are to shrink change, the least loaded first. */
class RoleChanges(
    private val engines: List<EngineModel>,
    private val control: RoleControl,
    private val schedule: VirtualSchedule,
    private val meter: RoleDemandMeter,
) {
    /** Sets the first roles and asks [control] at regular intervals. */
    fun start() {
        val initial = control.initial
        engines.forEachIndexed { index, engine ->
            engine.begin(
                when {
                    index < initial.prefill -> EngineRole.PREFILL
                    index < initial.prefill + initial.decode -> EngineRole.DECODE
                    else -> EngineRole.MIXED
                },
            )
        }
        scheduleStep()
    }

    private fun scheduleStep() {
        schedule.after(STEP) {
            meter.take(STEP.inWholeSeconds.toDouble())?.let { step(it) }
            scheduleStep()
        }
    }

    private fun step(demand: RoleDemand) {
        val current = RoleCounts(count(EngineRole.PREFILL), count(EngineRole.DECODE), count(EngineRole.MIXED))
        val target = control.step(demand, current, engines.count { it.changing }, schedule.now())
        val wanted = buildList {
            repeat(target.prefill - current.prefill) { add(EngineRole.PREFILL) }
            repeat(target.decode - current.decode) { add(EngineRole.DECODE) }
            repeat(target.mixed - current.mixed) { add(EngineRole.MIXED) }
        }
        val surplus = surplus(EngineRole.PREFILL, current.prefill - target.prefill) +
            surplus(EngineRole.DECODE, current.decode - target.decode) +
            surplus(EngineRole.MIXED, current.mixed - target.mixed)
        surplus.zip(wanted).forEach { (engine, role) -> engine.changeRole(role, CHANGE) }
        if (wanted.isNotEmpty()) control.onChanges(wanted.size)
    }

    private fun count(role: EngineRole) = engines.count { it.planned == role }

    private fun surplus(role: EngineRole, count: Int): List<EngineModel> =
        engines.filter { it.planned == role && !it.changing }.sortedBy { it.load }.take(maxOf(0, count))

    private companion object {
        val STEP = 5.seconds
        val CHANGE = 5.seconds
    }
}
