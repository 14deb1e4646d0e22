package org.nutmegspring.measure.confirmations

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.fault.FaultScenario
import org.nutmegspring.measure.fault.ScenarioOutcome
import org.nutmegspring.node.execution.ExecutionBounds
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs confirmations, repeatable calls and streams through the execution code of the product on virtual time, with
 * callers that repeat and race, and checks what services ran against what callers were told.
 */
class ExecutionScenario : FaultScenario {
    override val name: String = "execution"

    override val defects: List<Defect> = ExecutionDefect.entries.map { it.defect }

    override fun run(seed: Long, steps: Int, defect: Defect?): ScenarioOutcome {
        val rules = ExecutionDefect.entries.find { it.defect == defect }?.rules?.invoke() ?: ExecutionRules()
        return ExecutionRun(seed, rules = rules, bounds = TIGHT_BOUNDS).run(steps)
    }
}

/** Bounds under which tickets expire and runs are forgotten many times in each run. */
internal val TIGHT_BOUNDS = ExecutionBounds(ledgerCapacity = 60, ticketLifetime = 40.seconds)

/**
 * What callers ask for.
 *
 * @property generations the share of streams
 * @property repeatable the share of repeatable calls among the others
 * @property keys how callers protect calls that are not repeatable, each equally often
 */
internal class ExecutionMix(
    val generations: Double = 0.2,
    val repeatable: Double = 0.15,
    val keys: List<KeyKind> = KeyKind.entries,
)

/** One run of the work of [mix] under [disturbances]. */
internal class ExecutionRun(
    seed: Long,
    private val mix: ExecutionMix = ExecutionMix(),
    private val disturbances: List<Disturbance> = Disturbance.entries,
    rules: ExecutionRules = ExecutionRules(),
    bounds: ExecutionBounds = ExecutionBounds(),
    gaps: ClosedRange<Duration> = 200.milliseconds..6.seconds,
) {
    val world = ExecutionWorld(seed)
    private val intents = HashMap<Long, Intent>()
    private val network = VirtualInnerNetwork(world)
    private val services = VirtualServices(world, intents::getValue)
    private val engines = VirtualEngines(world, rules.matches, rules.positionOf)
    private val parts = ExecutionFleetParts(world, rules, network, services, engines, bounds)
    private val instances = MutableList(INSTANCES) { VirtualInstance(InstanceId("i$it"), parts) }
    private val faults =
        ExecutionFaults(world, network, services, engines, instances, { VirtualInstance(it, parts) }, gaps)

    /** How many writes of claims all processes sent. */
    val storeWrites: Long get() = faults.storeWritesOfEnded + instances.sumOf { it.storeWrites }

    /** Runs about [steps] steps. */
    fun run(steps: Int): ScenarioOutcome {
        scheduleWork()
        faults.start(disturbances)
        while (world.schedule.executed < steps && world.violation == null && world.schedule.step()) Unit
        world.injected.merge(Fault.REPLY_LOST, world.storeFaults.lostReplies, Long::plus)
        return ScenarioOutcome(world.schedule.executed, world.injected, world.digest, world.violation)
    }

    private fun scheduleWork() {
        world.schedule.after(world.between(1.milliseconds, MOST_GAP)) {
            startWork()
            scheduleWork()
        }
    }

    private fun startWork() {
        val number = intents.size.toLong()
        if (world.chance(mix.generations)) return startGeneration(number)
        val repeatable = world.chance(mix.repeatable)
        val kind = if (repeatable) KeyKind.NONE else mix.keys.random(world.random)
        val intent = Intent(number, repeatable, world.schedule.now())
        intents[number] = intent
        VirtualCaller(world, intent, kind) { instances }.start()
    }

    private fun startGeneration(number: Long) {
        intents[number] = Intent(number, repeatable = true, world.schedule.now())
        val request = RequestId("g$number")
        var delivered = 0L
        instances.random(world.random).generate(
            request,
            { position, text ->
                delivered++
                world.check(Invariant.WHOLE_ANSWER, position == delivered && text == tokenOf(request, delivered)) {
                    "$request got '$text' at $position as its token $delivered"
                }
            },
            { outcome ->
                world.record("$request ended with $outcome")
                world.check(Invariant.WHOLE_ANSWER, outcome.isLeft() || delivered == ANSWER_TOKENS) {
                    "$request ended after $delivered tokens without an error"
                }
            },
        )
    }

    private companion object {
        const val INSTANCES = 4
        val MOST_GAP: Duration = 400.milliseconds
    }
}
