package org.nutmegspring.measure.routing

import org.nutmegspring.routing.RoutingPolicy
import java.util.Locale

/** Presents the results of a comparison of [policies], given with their names. */
class RoutingTable(
    private val policies: List<Pair<String, RoutingPolicy>>,
    private val result: ComparisonResult,
) {
    /** Returns one line for each policy. */
    fun render(): String = policies.indices.joinToString("\n") { row(it) }

    /** Returns the figures by name; each name starts with [prefix]. */
    fun figures(prefix: String): Map<String, Double> = policies.indices.flatMap { figures(prefix, it) }.toMap()

    private fun row(policy: Int): String {
        val goodput = result.load.rates.indices.joinToString(" ") { rate ->
            val cells = result.cells[policy][rate]
            "%5.1f of %5.1f".format(Locale.ROOT, cells.map { it.goodput }.average(), cells.map { it.offered }.average())
        }
        val peaks = result.peaks(policy)
        val reference = result.atReference(policy)
        return ROW_FORMAT.format(
            Locale.ROOT,
            policies[policy].first,
            goodput,
            peaks.average(),
            peaks.min(),
            peaks.max(),
            reference.map { it.cacheHitShare }.average(),
            reference.map { it.firstTokenPercentileSeconds }.average(),
            reference.map { it.imbalance }.average(),
        )
    }

    private fun figures(prefix: String, policy: Int): List<Pair<String, Double>> {
        val name = "$prefix ${policies[policy].first}"
        val peaks = result.peaks(policy)
        val reference = result.atReference(policy)
        return listOf(
            "$name peak goodput, mean of seeds [requests/s]" to peaks.average(),
            "$name peak goodput, least of seeds [requests/s]" to peaks.min(),
            "$name peak goodput, greatest of seeds [requests/s]" to peaks.max(),
            "$name cached share of prompt tokens [ratio]" to reference.map { it.cacheHitShare }.average(),
            "$name first token p95 [s]" to reference.map { it.firstTokenPercentileSeconds }.average(),
            "$name imbalance of work in a second [ratio]" to reference.map { it.imbalance }.average(),
        )
    }

    private companion object {
        const val ROW_FORMAT =
            "  %-15s goodput/s %s | peak %.1f (%.1f to %.1f), hits %.2f, first token p95 %.3f s, imbalance %.3f"
    }
}
