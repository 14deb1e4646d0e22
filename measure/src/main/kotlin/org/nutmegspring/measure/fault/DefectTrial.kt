package org.nutmegspring.measure.fault

/** Whether a defect was revealed, and after how many runs. */
data class DefectOutcome(
    val scenario: String,
    val defect: String,
    val caught: Boolean,
    val runs: Int,
)

/** Runs [scenario] with [defect] built in until one of the invariants that should reveal it does. */
class DefectTrial(
    private val scenario: FaultScenario,
    private val defect: Defect,
) {
    /** Tries [maximumRuns] seeds from [seed] on, each with [steps] steps. */
    fun run(seed: Long, maximumRuns: Int = MAXIMUM_RUNS, steps: Int = STEPS_PER_RUN): DefectOutcome {
        repeat(maximumRuns) { index ->
            val violation = scenario.run(seed + index, steps, defect).violation
            if (violation != null && violation.invariant in defect.caughtBy) return outcome(caught = true, index + 1)
        }
        return outcome(caught = false, maximumRuns)
    }

    private fun outcome(caught: Boolean, runs: Int) = DefectOutcome(scenario.name, defect.name, caught, runs)

    private companion object {
        const val MAXIMUM_RUNS = 100
        const val STEPS_PER_RUN = 40_000
    }
}
