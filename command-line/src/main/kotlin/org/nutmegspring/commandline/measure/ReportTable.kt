package org.nutmegspring.commandline.measure

import org.nutmegspring.measure.report.Goal
import org.nutmegspring.measure.report.MeasureReport
import java.util.Locale

/** Returns [report] as a table for people. */
internal fun table(report: MeasureReport): String = buildString {
    appendLine("measure ${report.measure}, seed ${report.seed}")
    val width = (report.parameters.keys + report.figures.keys + report.goals.map { it.name }).maxOfOrNull { it.length }
    val column = width ?: 0
    section("parameters", report.parameters.mapValues { it.value }, column)
    section("figures", report.figures.mapValues { number(it.value) }, column)
    section("goals", report.goals.associate { it.name to outcome(it) }, column)
}.trimEnd()

private fun StringBuilder.section(title: String, rows: Map<String, String>, column: Int) {
    if (rows.isEmpty()) return
    appendLine(title)
    rows.forEach { (name, value) -> appendLine("  ${name.padEnd(column)}  $value") }
}

private fun outcome(goal: Goal): String {
    val verdict = if (goal.met) "met" else "NOT MET"
    return "${number(goal.value)} ${goal.comparison.symbol} ${number(goal.bound)}: $verdict"
}

private fun number(value: Double): String =
    if (value ==
        Math.rint(value)
    ) {
        String.format(Locale.ROOT, "%.0f", value)
    } else {
        String.format(Locale.ROOT, "%.4g", value)
    }
