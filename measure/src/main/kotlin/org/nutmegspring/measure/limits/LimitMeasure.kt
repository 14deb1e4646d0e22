package org.nutmegspring.measure.limits

import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.Goal
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import kotlin.time.Duration.Companion.seconds

/**
 * Nine instances and five organisations with skewed and shifting demand, one of which sends four times its rate.
 *
 * The same requests go through the product, through equal parts for each instance, and through a central bucket whose
 * holder needs the store to renew its lease. Each verdict is compared with that of an ideal bucket for the whole fleet.
 */
class LimitMeasure : Measure {
    override val name: String = "limits"
    override val summary: String = "rate limits over nine instances, with and without the platform's store"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val length = (request.steps ?: DEFAULT_SECONDS).seconds
        val trials = TrialConditions.entries.associateWith { conditions ->
            LimitTrial(request.seed, conditions, length).run().also { progress.tell("${label(conditions)}: done") }
        }
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf("instances" to "9", "organisations" to "5", "length" to "$length"),
            figures = trials.flatMap { (conditions, trial) -> figures(label(conditions), trial) }.toMap(),
            goals = trials.filterKeys { !it.kill }.flatMap { (conditions, trial) -> goals(conditions, trial) },
        )
    }

    private fun figures(label: String, trial: LimitTrial): List<Pair<String, Double>> {
        val ways = listOf(
            "product" to trial.product,
            "equal parts" to trial.equalParts,
            "central" to trial.central,
            "one bucket with a slow clock" to trial.slowClock,
        )
        return ways.flatMap { (way, verdicts) ->
            listOf(
                "$label, $way: admitted over allowed [ratio]" to verdicts.admittedOverAllowed,
                "$label, $way: wrongful refusals over the trial [%]" to verdicts.trialWrongfulPercent,
                "$label, $way: wrongful refusals [%]" to verdicts.wrongfulPercent,
                "$label, $way: refusals that the ideal bucket admitted [%]" to verdicts.differingPercent,
                "$label, $way: worst-served share [ratio]" to verdicts.worstServedShare,
            )
        } + ("$label, product: messages per request [count]" to trial.messagesPerRequest)
    }

    private fun goals(conditions: TrialConditions, trial: LimitTrial): List<Goal> {
        val label = label(conditions)
        val mostWrongful = if (conditions.outage) MOST_WRONGFUL_PERCENT_IN_OUTAGE else MOST_WRONGFUL_PERCENT
        val product = trial.product
        return listOf(
            goal("$label: admitted over allowed", Comparison.AT_MOST, 1.0, product.admittedOverAllowed),
            goal("$label: wrongful refusals in percent", Comparison.BELOW, mostWrongful, product.wrongfulPercent),
            goal("$label: worst-served share", Comparison.AT_LEAST, LEAST_SHARE, product.worstServedShare),
        )
    }

    private fun label(conditions: TrialConditions) = conditions.name.lowercase().replace('_', ' ')

    private companion object {
        const val DEFAULT_SECONDS = 300
        const val MOST_WRONGFUL_PERCENT = 0.5
        const val MOST_WRONGFUL_PERCENT_IN_OUTAGE = 2.0
        const val LEAST_SHARE = 0.95
    }
}
