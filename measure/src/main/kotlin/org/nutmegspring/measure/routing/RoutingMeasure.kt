package org.nutmegspring.measure.routing

import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import org.nutmegspring.routing.RoutingPolicy
import kotlin.random.Random

/** Compares the routing policies on the same traffic. */
class RoutingMeasure : Measure {
    override val name: String = "routing"

    override val summary: String = "goodput, cache hits and imbalance of each routing policy; time of one decision"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val seeds = seeds(request)
        val comparison = RoutingComparison(POLICIES.map { it.second }, seeds)
        val figures = LinkedHashMap<String, Double>()
        val gains = ArrayList<Double>()
        val losses = ArrayList<Double>()
        for (office in Office.entries) {
            for (load in OfferedLoad.entries) {
                val table = comparison.run(office, load)
                val prefix = "${office.label} ${load.label}"
                progress.tell(prefix + "\n" + RoutingTable(POLICIES, table).render())
                figures += RoutingTable(POLICIES, table).figures(prefix)
                if (load.shared) {
                    gains += table.peakRatios(PRODUCT, BASELINE)
                } else {
                    losses +=
                        table.ratios(PRODUCT, BASELINE)
                }
            }
        }
        Office.entries.forEach { figures += OverloadComparison(seeds).run(it, progress) }
        val slope = DecisionSlope(request.seed).run(progress)
        figures += slope.figures
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf("seeds" to seeds.joinToString(" "), "instances" to "7"),
            figures = figures,
            goals = listOf(
                goal(GAIN_GOAL, Comparison.AT_LEAST, LEAST_GAIN, gains.min()),
                goal(LOSS_GOAL, Comparison.AT_LEAST, LEAST_RATIO, losses.min()),
                goal(TIME_GOAL, Comparison.BELOW, MOST_MICROSECONDS, slope.largestFleetMicroseconds),
            ),
        )
    }

    private fun seeds(request: MeasureRequest): List<Long> {
        val random = Random(request.seed)
        return listOf(request.seed) + List((request.steps ?: DEFAULT_SEEDS) - 1) { random.nextLong(MAXIMUM_SEED) }
    }

    private companion object {
        val POLICIES = listOf(
            "least-loaded" to RoutingPolicy.LeastLoaded,
            "two-choices" to RoutingPolicy.TwoChoices,
            "bounded-hash" to RoutingPolicy.BoundedHash(),
            "cache-votes" to RoutingPolicy.CacheVotes(),
            "cache-votes-1/8" to RoutingPolicy.CacheVotes(sampleBits = 3),
            "expected-delay" to RoutingPolicy.ExpectedDelay(),
        )
        const val BASELINE = 0
        const val PRODUCT = 5
        const val DEFAULT_SEEDS = 10
        const val MAXIMUM_SEED = 1_000_000L
        const val LEAST_GAIN = 1.3
        const val LEAST_RATIO = 0.98
        const val MOST_MICROSECONDS = 50.0
        const val GAIN_GOAL = "peak goodput over least-loaded's with shared prefixes, least of all seeds [ratio]"
        const val LOSS_GOAL = "goodput over least-loaded's without shared prefixes, least of seeds and loads [ratio]"
        const val TIME_GOAL = "mean time of a decision among 3,200 engines [us]"
    }
}
