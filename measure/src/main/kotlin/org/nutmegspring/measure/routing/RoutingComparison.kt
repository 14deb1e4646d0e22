package org.nutmegspring.measure.routing

import org.nutmegspring.routing.RoutingPolicy

/**
 * The offered loads of a comparison.
 *
 * @property shared whether requests share prefixes
 * @property rates requests per second and engine
 * @property reference the rate at which cache hits, first tokens and imbalance are shown
 * @property overloads the rates at which admission is compared with taking every request
 */
enum class OfferedLoad(
    val label: String,
    val shared: Boolean,
    val rates: List<Double>,
    val reference: Double,
    val overloads: List<Double>,
) {
    /** Requests of a group start with the same pieces. */
    SHARED("shared", true, listOf(4.0, 6.0, 8.0, 10.0, 12.0, 14.0), 8.0, listOf(8.0, 16.0, 20.0)),

    /** No two requests start alike. */
    UNSHARED("unshared", false, listOf(1.0, 2.0, 3.0, 4.0, 5.0), 3.0, listOf(3.0, 6.0, 8.0)),
}

/**
 * The results of a comparison.
 *
 * @property cells the results by policy, rate and seed
 */
class ComparisonResult(val load: OfferedLoad, val cells: List<List<List<RoutingRunResult>>>) {
    /** Returns the greatest goodput of [policy] over the offered rates for each seed. */
    fun peaks(policy: Int): List<Double> =
        cells[policy].first().indices.map { seed -> cells[policy].maxOf { it[seed].goodput } }

    /** Returns the peaks of [policy] divided by those of [baseline] for each seed. */
    fun peakRatios(policy: Int, baseline: Int): List<Double> =
        peaks(policy).zip(peaks(baseline)) { one, other -> one / other }

    /** Returns the goodput of [policy] divided by that of [baseline] for each rate and seed. */
    fun ratios(policy: Int, baseline: Int): List<Double> =
        cells[policy].flatten().zip(cells[baseline].flatten()) { one, other -> one.goodput / other.goodput }

    /** Returns the results of [policy] at the reference rate for each seed. */
    fun atReference(policy: Int): List<RoutingRunResult> = cells[policy][load.rates.indexOf(load.reference)]
}

/** Runs every policy on the same traffic for each seed. */
class RoutingComparison(private val policies: List<RoutingPolicy>, private val seeds: List<Long>) {
    /** Runs the comparison for [office] under [load]. */
    fun run(office: Office, load: OfferedLoad): ComparisonResult {
        val settings = policies.flatMap { policy ->
            load.rates.flatMap { rate ->
                val traffic = TrafficSetting(rate * office.engines, load.shared)
                seeds.map { RoutingRunSetting(office, policy, traffic, it) }
            }
        }
        val results = inParallel(settings) { RoutingRun(it).run() }
        return ComparisonResult(load, results.chunked(seeds.size).chunked(load.rates.size))
    }
}
