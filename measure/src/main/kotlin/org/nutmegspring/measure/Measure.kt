package org.nutmegspring.measure

import org.nutmegspring.measure.report.MeasureReport

/** Parameters that every measure takes. [steps] is null for the measure's own default. */
data class MeasureRequest(
    val seed: Long,
    val steps: Int? = null,
)

/** Receives lines that tell how far a long measure has come. */
fun interface Progress {
    /** Tells [line]. */
    fun tell(line: String)
}

/** A measurement that `nutmegspring measure` offers. */
interface Measure {
    /** The name on the command line. */
    val name: String

    /** One line for the help text. */
    val summary: String

    /** Runs the measurement. Any seed may be given. */
    fun run(request: MeasureRequest, progress: Progress): MeasureReport
}
