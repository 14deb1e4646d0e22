package org.nutmegspring.measure.lease

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.lease.Duty
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.fault.FaultScenario
import org.nutmegspring.measure.fault.ScenarioOutcome
import org.nutmegspring.measure.virtual.CallFaults
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs leases, orders to engines of both kinds of fencing, and orders of endpoints, with the drivers of the product
 * on virtual time.
 */
class ControlScenario : FaultScenario {
    override val name: String = "control"

    override val defects: List<Defect> = ControlDefect.entries.map { it.defect }

    override fun run(seed: Long, steps: Int, defect: Defect?): ScenarioOutcome {
        val rules = ControlDefect.entries.find { it.defect == defect }?.rules?.invoke() ?: ControlRules()
        return ControlRun(seed, rules).run(steps)
    }
}

private enum class ControlFault(val weight: Int = 1) {
    STORE_DOWN_FOR_ALL,
    STORE_DOWN_FOR_ONE(weight = 5),
    STORE_SLOW,
    LATE_CALLS,
    LOST_REPLIES,
    CUT_OFF,
    PAUSE,
    KILL,
    PLANNED_STOP,
    ENGINE_CRASH,
    ;

    companion object {
        private val weighted = entries.flatMap { fault -> List(fault.weight) { fault } }

        fun drawn(random: Random): ControlFault = weighted.random(random)
    }
}

internal class ControlRun(seed: Long, rules: ControlRules) {
    val world = ControlWorld(seed)
    private val fleet = ControlFleet(world, rules)

    fun run(steps: Int): ScenarioOutcome {
        repeat(INSTANCES) { fleet.start() }
        scheduleFault()
        scheduleCheck()
        while (world.schedule.executed < steps && world.violation == null) {
            if (!world.schedule.step()) break
        }
        world.injected.merge(Fault.REPLY_LOST, fleet.lostReplies(), Long::plus)
        return ScenarioOutcome(world.schedule.executed, world.injected, world.digest, world.violation)
    }

    private fun scheduleFault() {
        world.schedule.after(world.milliseconds(LEAST_GAP_MILLISECONDS, MOST_GAP_MILLISECONDS)) {
            injectFault()
            scheduleFault()
        }
    }

    private fun scheduleCheck() {
        world.schedule.after(CHECK_INTERVAL) {
            checkHolders()
            scheduleCheck()
        }
    }

    private fun checkHolders() {
        val holders = HashMap<Duty, Int>()
        fleet.running().forEach { instance ->
            instance.duties
                .forEach { (duty, keeper) -> if (keeper.heldLease() != null) holders.merge(duty, 1, Int::plus) }
        }
        holders.forEach { (duty, count) ->
            world.monitor.check(Invariant.ONE_HOLDER, count == 1) { "${duty.key} has $count holders" }
        }
    }

    private fun injectFault() {
        val instance = fleet.running().random(world.random)
        val span = world.milliseconds(LEAST_FAULT_MILLISECONDS, MOST_FAULT_MILLISECONDS)
        when (ControlFault.drawn(world.random)) {
            ControlFault.STORE_DOWN_FOR_ALL -> during(span, Fault.STORE_DOWN, "") { down ->
                everyStore { unreachable = down }
            }

            ControlFault.STORE_DOWN_FOR_ONE -> during(span, Fault.STORE_DOWN, "${instance.id}") { down ->
                fleet.storeFaults(instance.id).unreachable = down
            }

            ControlFault.STORE_SLOW -> during(span, Fault.STORE_SLOW, "") { slow -> everyStore { this.slow = slow } }

            ControlFault.LATE_CALLS -> during(span, Fault.MESSAGE_DISORDER, "") { late ->
                setLateness(if (late) LATENESS else 0.0)
            }

            ControlFault.LOST_REPLIES -> during(span, Fault.REPLY_LOST, "") { lost ->
                setReplyLoss(if (lost) REPLY_LOSS else 0.0)
            }

            ControlFault.CUT_OFF -> during(span, Fault.INSTANCE_CUT_OFF, "${instance.id}") { cut ->
                fleet.cutOff(instance, cut)
            }

            ControlFault.PAUSE -> pause(instance, span)

            ControlFault.KILL -> replace(instance) { fleet.kill(instance) }

            ControlFault.PLANNED_STOP -> replace(instance) { fleet.stop(instance, STOP_SPAN) }

            ControlFault.ENGINE_CRASH -> crashEngine()
        }
    }

    private fun during(span: Duration, fault: Fault, detail: String, set: (Boolean) -> Unit) {
        world.inject(fault, "$detail for $span")
        set(true)
        world.schedule.after(span) { set(false) }
    }

    private fun pause(instance: ControlInstance, span: Duration) {
        world.inject(Fault.PAUSE, "${instance.id} for $span")
        instance.process.pause(span)
    }

    private fun replace(instance: ControlInstance, end: () -> Unit) {
        world.inject(Fault.KILL, "${instance.id}")
        end()
        fleet.start()
    }

    private fun crashEngine() {
        val engine = fleet.engines.random(world.random)
        world.inject(Fault.ENDPOINT_CRASH, "${engine.description.id}")
        engine.crash()
    }

    private fun everyStore(change: CallFaults.() -> Unit) =
        fleet.running().forEach { fleet.storeFaults(it.id).change() }

    private fun setLateness(probability: Double) {
        everyStore { lateness = probability }
        fleet.engineFaults.lateness = probability
    }

    private fun setReplyLoss(probability: Double) {
        everyStore { replyLoss = probability }
        fleet.engineFaults.replyLoss = probability
    }

    private companion object {
        const val INSTANCES = 5
        const val LATENESS = 0.1
        const val REPLY_LOSS = 0.2
        const val LEAST_GAP_MILLISECONDS = 1_000L
        const val MOST_GAP_MILLISECONDS = 12_000L
        const val LEAST_FAULT_MILLISECONDS = 500L
        const val MOST_FAULT_MILLISECONDS = 10_000L
        val CHECK_INTERVAL = 40.milliseconds
        val STOP_SPAN = 12.seconds
    }
}
