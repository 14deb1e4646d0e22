package org.nutmegspring.measure.usage

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.fault.FaultScenario
import org.nutmegspring.measure.fault.ScenarioOutcome
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.FaultWorld
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the counting, handing on, fixing and reporting of usage with the drivers of the product on virtual time. */
class UsageScenario : FaultScenario {
    override val name: String = "usage"

    override val defects: List<Defect> = UsageDefect.entries.map { it.defect }

    override fun run(seed: Long, steps: Int, defect: Defect?): ScenarioOutcome {
        val rules = UsageDefect.entries.find { it.defect == defect }?.rules?.invoke() ?: UsageRules()
        return UsageRun(seed, rules).run(steps)
    }
}

internal enum class UsageFault(val weight: Int = 1) {
    STORE_DOWN_FOR_ALL,
    STORE_DOWN_FOR_ONE(weight = 6),
    STORE_SLOW,
    LATE_CALLS,
    LOST_REPLIES,
    MESSAGE_DISORDER,
    CUT_OFF(weight = 2),
    DATA_CENTRES_APART,
    PAUSE,
    KILL(weight = 2),
    HANDOVER(weight = 3),
    WALL_CLOCK_STEP,
}

/**
 * The faults of a run, and the time between two of them.
 *
 * @property pausesBeforeCalls whether processes are also paused directly before they call the platform
 */
internal class UsageFaultProfile(
    private val faults: List<UsageFault>,
    val leastGap: Duration,
    val greatestGap: Duration,
) {
    val pausesBeforeCalls: Boolean get() = UsageFault.PAUSE in faults
    private val weighted = faults.flatMap { fault -> List(fault.weight) { fault } }

    /** Draws a fault. */
    fun drawn(random: Random): UsageFault = weighted.random(random)

    companion object {
        /** Every fault, several at a time. */
        val ALL = UsageFaultProfile(UsageFault.entries, leastGap = 1.seconds, greatestGap = 10.seconds)

        /** Instances are killed, one at a time. */
        val KILLS = UsageFaultProfile(listOf(UsageFault.KILL), leastGap = 15.seconds, greatestGap = 30.seconds)
    }
}

/** One randomised run. */
internal class UsageRun(
    seed: Long,
    rules: UsageRules,
    private val profile: UsageFaultProfile = UsageFaultProfile.ALL,
) {
    val world = FaultWorld(seed)
    val fleet = UsageFleet(world, rules, profile.pausesBeforeCalls)
    private var calm = false

    /** Runs [steps] steps with faults and then, without faults, until all usage has to be reported. */
    fun run(steps: Int): ScenarioOutcome {
        repeat(INSTANCES) { fleet.start() }
        scheduleFault()
        while (world.schedule.executed < steps && world.violation == null) world.schedule.step()
        if (world.violation == null) finish()
        return ScenarioOutcome(world.schedule.executed, world.injected, world.digest, world.violation)
    }

    /** Returns what the killed instances took with them. */
    fun losses(): List<UsageLoss> =
        fleet.all().filter { it.endedAt != null }.map { it.loss(fleet.truth.missing(it.incarnation)) }

    private fun finish() {
        calm = true
        fleet.calm()
        world.schedule.runUntil(world.schedule.now() + CALM_SPAN)
        fleet.running().forEach { instance ->
            val missing = fleet.truth.missing(instance.incarnation)
            world.monitor.check(Invariant.USAGE_COMPLETE, missing.isEmpty()) { "$missing of ${instance.id}" }
        }
    }

    private fun scheduleFault() {
        world.schedule.after(
            world.milliseconds(profile.leastGap.inWholeMilliseconds, profile.greatestGap.inWholeMilliseconds),
        ) {
            if (!calm) {
                injectFault()
                scheduleFault()
            }
        }
    }

    private fun injectFault() {
        val instance = fleet.running().random(world.random)
        val span = world.milliseconds(LEAST_FAULT_MILLISECONDS, MOST_FAULT_MILLISECONDS)
        when (val fault = profile.drawn(world.random)) {
            UsageFault.MESSAGE_DISORDER -> during(span, Fault.MESSAGE_DISORDER, "") {
                fleet.network.disorder = if (it) DISORDER else 0.0
            }

            UsageFault.CUT_OFF -> during(span, Fault.INSTANCE_CUT_OFF, "${instance.id}") { fleet.cutOff(instance, it) }

            UsageFault.DATA_CENTRES_APART -> during(span, Fault.DATA_CENTRES_APART, "") { fleet.apart = it }

            UsageFault.PAUSE -> pause(instance, span)

            UsageFault.KILL -> replace(instance)

            UsageFault.HANDOVER -> handOver(instance, span)

            UsageFault.WALL_CLOCK_STEP -> instance.stepWallClock(span - MOST_FAULT_MILLISECONDS.milliseconds / 2)

            else -> injectStoreFault(fault, instance, span)
        }
    }

    private fun injectStoreFault(fault: UsageFault, instance: UsageInstance, span: Duration) = when (fault) {
        UsageFault.STORE_DOWN_FOR_ALL -> during(span, Fault.STORE_DOWN, "") { everyStore { unreachable = it } }

        UsageFault.STORE_DOWN_FOR_ONE -> during(span, Fault.STORE_DOWN, "${instance.id}") {
            fleet.storeFaults(instance.id).unreachable = it
        }

        UsageFault.STORE_SLOW -> during(span, Fault.STORE_SLOW, "") { everyStore { slow = it } }

        UsageFault.LATE_CALLS -> during(span, Fault.STORE_SLOW, "with late effects") {
            everyStore { lateness = if (it) LATENESS else 0.0 }
        }

        UsageFault.LOST_REPLIES -> during(span, Fault.REPLY_LOST, "") {
            everyStore { replyLoss = if (it) REPLY_LOSS else 0.0 }
        }

        else -> error("$fault is not a fault of the store")
    }

    private fun during(span: Duration, fault: Fault, detail: String, set: (Boolean) -> Unit) {
        world.inject(fault, "$detail for $span")
        set(true)
        world.schedule.after(span) { if (!calm) set(false) }
    }

    private fun pause(instance: UsageInstance, span: Duration) {
        world.inject(Fault.PAUSE, "${instance.id} for $span")
        instance.process.pause(span)
    }

    private fun handOver(instance: UsageInstance, span: Duration) {
        world.record("${instance.id} hands its duties over for $span")
        fleet.takesDuties(instance, false)
        world.schedule.after(span) { fleet.takesDuties(instance, true) }
    }

    private fun replace(instance: UsageInstance) {
        world.inject(Fault.KILL, "${instance.id}")
        fleet.kill(instance)
        fleet.start()
    }

    private fun everyStore(change: CallFaults.() -> Unit) =
        fleet.running().forEach { fleet.storeFaults(it.id).change() }

    private companion object {
        const val INSTANCES = 6
        const val LATENESS = 0.1
        const val REPLY_LOSS = 0.2
        const val DISORDER = 0.2
        const val LEAST_FAULT_MILLISECONDS = 500L
        const val MOST_FAULT_MILLISECONDS = 10_000L
        val CALM_SPAN = 90.seconds
    }
}
