package org.nutmegspring.measure.fault

import java.util.EnumMap

/** The sum of the outcomes of one scenario's runs. */
internal class ScenarioTally(val name: String) {
    /** How many runs were made. */
    var runs: Long = 0
        private set

    /** How many steps they took. */
    var steps: Long = 0
        private set

    /** How many runs ended with a violation. */
    var violations: Long = 0
        private set

    /** How often each fault was injected. */
    val faults: MutableMap<Fault, Long> = EnumMap(Fault::class.java)

    /** Whether the first seed gave the same run twice. */
    var repeatable: Boolean = true

    private var firstViolation: String? = null

    /** Adds [outcome]. */
    fun add(outcome: ScenarioOutcome) {
        runs++
        steps += maxOf(1, outcome.steps)
        outcome.faults.forEach { (fault, count) -> faults.merge(fault, count, Long::plus) }
        outcome.violation?.let { violation ->
            violations++
            if (firstViolation == null) firstViolation = violation.toString()
        }
    }

    /** Returns a line for people, and the first violation when there is one. */
    fun line(): String =
        "$name: $runs runs, $steps steps, $violations violations" + firstViolation?.let { "\n$it" }.orEmpty()
}
