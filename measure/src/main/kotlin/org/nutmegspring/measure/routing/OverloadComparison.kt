package org.nutmegspring.measure.routing

import org.nutmegspring.measure.Progress
import org.nutmegspring.routing.RoutingPolicy
import java.util.Locale

/** Compares admission with taking every request, at the reference load and above what the engines can serve. */
class OverloadComparison(private val seeds: List<Long>) {
    /** Runs the comparison for [office] and returns its figures by name. */
    fun run(office: Office, progress: Progress): Map<String, Double> {
        val figures = LinkedHashMap<String, Double>()
        for (load in OfferedLoad.entries) {
            for (rate in load.overloads) {
                for (admission in listOf(false, true)) {
                    val results = inParallel(seeds) { seed ->
                        val traffic = TrafficSetting(rate * office.engines, load.shared)
                        RoutingRun(RoutingRunSetting(office, PRODUCT, traffic, seed, admission)).run()
                    }
                    val name = "${office.label} ${load.label} $rate requests/s and engine, ${label(admission)}"
                    progress.tell("  $name: ${describe(results)}")
                    figures += figures(name, results)
                }
            }
        }
        return figures
    }

    private fun label(admission: Boolean) = if (admission) "admission" else "no admission"

    private fun describe(results: List<RoutingRunResult>) =
        "goodput/s %.1f of %.1f, refused %.3f, worst-served organisation %.3f, first token p95 %.3f s".format(
            Locale.ROOT,
            results.map { it.goodput }.average(),
            results.map { it.offered }.average(),
            results.map { it.refusedShare }.average(),
            results.map { it.worstServedShare }.average(),
            results.map { it.firstTokenPercentileSeconds }.average(),
        )

    private fun figures(name: String, results: List<RoutingRunResult>) = mapOf(
        "$name: goodput [requests/s]" to results.map { it.goodput }.average(),
        "$name: refused [ratio]" to results.map { it.refusedShare }.average(),
        "$name: goodput of the worst-served organisation over its offer [ratio]" to
            results.map { it.worstServedShare }.average(),
    )

    private companion object {
        val PRODUCT = RoutingPolicy.ExpectedDelay()
    }
}
