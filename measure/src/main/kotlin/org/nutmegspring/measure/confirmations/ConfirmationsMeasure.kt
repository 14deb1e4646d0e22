package org.nutmegspring.measure.confirmations

import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import kotlin.time.Duration.Companion.seconds

/**
 * Measures what running work at most once costs and how it ends under each disturbance.
 *
 * The same callers send the same kind of work with no key, with keys of their own and with tickets. Only work without
 * a key is sent once by its caller; it is the baseline.
 */
class ConfirmationsMeasure : Measure {
    override val name: String = "confirmations"

    override val summary: String = "cost and outcome of work that may run at most once, under each fault"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val steps = request.steps ?: DEFAULT_STEPS
        val figures = sortedMapOf<String, Double>()
        val totals = Totals()
        for (kind in KeyKind.entries) {
            for (disturbances in listOf(emptyList<Disturbance>()) + Disturbance.entries.map { listOf(it) }) {
                val label = "${kind.label}.${disturbances.singleOrNull()?.label ?: "no-fault"}"
                progress.tell("$label, $SEEDS seeds of $steps steps")
                figures += figuresOf(label, kind, disturbances, request.seed, steps, totals)
            }
        }
        val most = totals.mostExecutions.toDouble()
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf(
                "steps per run" to "$steps",
                "seeds per row" to "$SEEDS",
                "instances" to "4",
                "seconds between disturbances" to "20 to 60",
            ),
            figures = figures,
            goals = listOf(
                goal("executions of one confirmation", Comparison.AT_MOST, 1.0, most),
                goal("violated invariants", Comparison.EQUAL, 0.0, totals.violations.toDouble()),
            ),
        )
    }

    private fun figuresOf(
        label: String,
        kind: KeyKind,
        disturbances: List<Disturbance>,
        seed: Long,
        steps: Int,
        totals: Totals,
    ): Map<String, Double> {
        val runs = List(SEEDS) { index ->
            val mix = ExecutionMix(generations = 0.0, repeatable = 0.0, keys = listOf(kind))
            ExecutionRun(seed + index, mix, disturbances, gaps = GAPS).also { it.run(steps) }
        }
        val ledgers = runs.map { it.world.ledger }
        totals.violations += runs.count { it.world.violation != null }
        totals.mostExecutions = maxOf(totals.mostExecutions, ledgers.maxOf { it.mostExecutions })
        val ended = ledgers.sumOf { it.ends.values.sum() }.toDouble()
        val times = ledgers.first().answerTimes.copy().apply { ledgers.drop(1).forEach { add(it.answerTimes) } }
        return mapOf(
            "$label.writes per confirmation [count]" to runs.sumOf { it.storeWrites } / executed(ledgers),
            "$label.most executions [count]" to ledgers.maxOf { it.mostExecutions }.toDouble(),
            "$label.answered [share]" to share(ledgers, IntentEnd.ANSWERED, ended),
            "$label.outcome unknown [share]" to share(ledgers, IntentEnd.OUTCOME_UNKNOWN, ended),
            "$label.not run [share]" to share(ledgers, IntentEnd.NOT_RUN, ended),
            "$label.median time [ms]" to times.getValueAtPercentile(MEDIAN) / MICROSECONDS_PER_MILLISECOND,
            "$label.99th percentile time [ms]" to times.getValueAtPercentile(TAIL) / MICROSECONDS_PER_MILLISECOND,
        )
    }

    private fun executed(ledgers: List<ExecutionLedger>): Double = ledgers.sumOf { it.confirmations }.toDouble()

    private fun share(ledgers: List<ExecutionLedger>, end: IntentEnd, ended: Double): Double =
        ledgers.sumOf { it.ends[end] ?: 0 } / ended

    private class Totals {
        var mostExecutions = 0
        var violations = 0
    }

    private companion object {
        val GAPS = 20.seconds..60.seconds
        const val DEFAULT_STEPS = 50_000
        const val SEEDS = 10
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
