package org.nutmegspring.measure.usage

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Counts usage windows that are late, wrong or doubled, and what killed instances take with them. */
class UsageMeasure : Measure {
    override val name: String = "usage"

    override val summary: String = "usage windows late, wrong or doubled under faults, and usage lost by kills"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val steps = request.steps ?: DEFAULT_STEPS
        val faults = results(request.seed, steps, UsageFaultProfile.ALL, progress)
        val kills = results(request.seed, steps, UsageFaultProfile.KILLS, progress)
        val figures = faults.figures("all faults") + kills.figures("kills only")
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf("seeds" to "$SEEDS", "steps per seed" to "$steps"),
            figures = figures,
            goals = listOf(
                goal("wrong windows, all faults", Comparison.EQUAL, 0.0, faults.wrong.toDouble()),
                goal("doubled windows, all faults", Comparison.EQUAL, 0.0, faults.doubled.toDouble()),
                goal("other violations, all faults", Comparison.EQUAL, 0.0, faults.otherViolations.toDouble()),
                goal("violations, kills only", Comparison.EQUAL, 0.0, kills.violations.toDouble()),
                goal("oldest loss, kills only [s]", Comparison.AT_MOST, LOSS_BOUND.toSeconds(), kills.oldestLoss()),
            ),
        )
    }

    private fun results(seed: Long, steps: Int, profile: UsageFaultProfile, progress: Progress): UsageResults {
        val results = UsageResults()
        for (offset in 0 until SEEDS) {
            val run = UsageRun(seed + offset, UsageRules(), profile)
            val outcome = run.run(steps)
            outcome.violation?.let { progress.tell("$it") }
            results.add(run)
        }
        return results
    }

    private companion object {
        const val SEEDS = 10
        const val DEFAULT_STEPS = 200_000

        /** The time between two batches, and the time in which a keeper has to answer. */
        val LOSS_BOUND = 2.seconds
    }
}

private class UsageResults {
    private val runs = ArrayList<UsageRun>()
    private val losses = ArrayList<UsageLoss>()

    /** How many windows had other figures than what was counted. */
    var wrong = 0
        private set

    /** How many windows were reported with two sets of figures. */
    var doubled = 0
        private set

    /** How many runs violated anything. */
    var violations = 0
        private set

    val otherViolations: Int get() = violations - wrong - doubled

    fun add(run: UsageRun) {
        runs.add(run)
        losses.addAll(run.losses())
        val invariant = run.world.violation?.invariant ?: return
        violations++
        if (invariant == Invariant.USAGE_COUNTED_ONCE) wrong++
        if (invariant == Invariant.ONE_FIGURE_PER_WINDOW) doubled++
    }

    fun oldestLoss(): Double = losses.maxOfOrNull { it.age.toSeconds() } ?: 0.0

    fun figures(profile: String): Map<String, Double> {
        val tokens = runs.sumOf { it.fleet.truth.reportedTokens(late = false) }.toDouble()
        val late = runs.sumOf { it.fleet.truth.reportedTokens(late = true) }.toDouble()
        val lost = losses.sumOf { it.tokens }.toDouble()
        return mapOf(
            "windows reported, $profile [windows]" to runs.sumOf { it.fleet.truth.windows }.toDouble(),
            "reports accepted, $profile [reports]" to runs.sumOf { it.fleet.truth.reports }.toDouble(),
            "late figures, $profile [figures]" to runs.sumOf { it.fleet.truth.lateFigures }.toDouble(),
            "late tokens, $profile [share]" to late / tokens,
            "killed instances, $profile [instances]" to losses.size.toDouble(),
            "lost tokens, $profile [share]" to lost / (tokens + lost),
            "oldest loss, $profile [s]" to oldestLoss(),
        )
    }
}

private fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)
