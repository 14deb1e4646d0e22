package org.nutmegspring.measure.fault

import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal

/** Runs all randomised runs long, and their deliberate defects until an invariant reveals each. */
class FaultsMeasure(private val scenarios: List<FaultScenario> = FaultScenarioProvider().scenarios) : Measure {
    override val name: String = "faults"

    override val summary: String = "violations of invariants in long randomised runs, and defects that they reveal"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val steps = request.steps ?: DEFAULT_STEPS
        val tallies = scenarios.map { scenario ->
            tally(scenario, request.seed, steps / scenarios.size).also { progress.tell(it.line()) }
        }
        val defects = scenarios.flatMap { scenario ->
            scenario.defects.map { DefectTrial(scenario, it).run(request.seed) }
        }
        defects.filterNot { it.caught }.forEach { progress.tell("not revealed: ${it.scenario}: ${it.defect}") }
        return report(request, steps, tallies, defects)
    }

    private fun tally(scenario: FaultScenario, seed: Long, steps: Int): ScenarioTally {
        val tally = ScenarioTally(scenario.name)
        var runSeed = seed
        while (tally.steps < steps) {
            val outcome = scenario.run(runSeed, STEPS_PER_RUN)
            if (tally.runs == 0L) tally.repeatable = scenario.run(runSeed, STEPS_PER_RUN).digest == outcome.digest
            tally.add(outcome)
            runSeed++
        }
        return tally
    }

    private fun report(
        request: MeasureRequest,
        steps: Int,
        tallies: List<ScenarioTally>,
        defects: List<DefectOutcome>,
    ): MeasureReport {
        val figures = LinkedHashMap<String, Double>()
        tallies.forEach { tally ->
            figures["${tally.name}: runs [count]"] = tally.runs.toDouble()
            figures["${tally.name}: steps [count]"] = tally.steps.toDouble()
            figures["${tally.name}: violations [count]"] = tally.violations.toDouble()
            tally.faults.forEach { (fault, count) ->
                figures["${tally.name}: ${fault.name.lowercase()} [count]"] = count.toDouble()
            }
        }
        defects.forEach { figures["${it.scenario}: ${it.defect}: runs until revealed [count]"] = it.runs.toDouble() }
        val violations = tallies.sumOf { it.violations }.toDouble()
        val unrepeatable = tallies.count { !it.repeatable }.toDouble()
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf("steps" to steps.toString(), "steps of one run" to STEPS_PER_RUN.toString()),
            figures = figures,
            goals = listOf(
                goal("violations [count]", Comparison.EQUAL, 0.0, violations),
                goal("defects not revealed [count]", Comparison.EQUAL, 0.0, defects.count { !it.caught }.toDouble()),
                goal("runs that a seed does not repeat [count]", Comparison.EQUAL, 0.0, unrepeatable),
                goal("steps [count]", Comparison.AT_LEAST, steps.toDouble(), tallies.sumOf { it.steps }.toDouble()),
            ),
        )
    }

    private companion object {
        const val DEFAULT_STEPS = 1_000_000
        const val STEPS_PER_RUN = 20_000
    }
}
