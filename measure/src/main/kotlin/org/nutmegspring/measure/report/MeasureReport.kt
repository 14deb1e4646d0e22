package org.nutmegspring.measure.report

import kotlinx.serialization.Serializable

/** How the value of a goal is compared with its bound. */
@Serializable
enum class Comparison(val symbol: String) {
    /** The value must not pass the bound. */
    AT_MOST("<="),

    /** The value must reach the bound. */
    AT_LEAST(">="),

    /** The value must stay below the bound. */
    BELOW("<"),

    /** The value must equal the bound. */
    EQUAL("=="),
}

/** A goal and whether the run met it. The bound comes from the stated target. */
@Serializable
data class Goal(
    val name: String,
    val comparison: Comparison,
    val bound: Double,
    val value: Double,
    val met: Boolean,
)

/** Returns the goal with the outcome of comparing [value] with [bound]. */
fun goal(name: String, comparison: Comparison, bound: Double, value: Double): Goal {
    val met = when (comparison) {
        Comparison.AT_MOST -> value <= bound
        Comparison.AT_LEAST -> value >= bound
        Comparison.BELOW -> value < bound
        Comparison.EQUAL -> value == bound
    }
    return Goal(name, comparison, bound, value, met)
}

/**
 * The result of one measure.
 *
 * @property parameters what was run, by name
 * @property figures what was measured, by a name that ends with its unit in brackets
 */
@Serializable
data class MeasureReport(
    val measure: String,
    val seed: Long,
    val parameters: Map<String, String>,
    val figures: Map<String, Double>,
    val goals: List<Goal>,
)
