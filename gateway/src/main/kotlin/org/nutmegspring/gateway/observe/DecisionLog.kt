package org.nutmegspring.gateway.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.nutmegspring.time.MonotonicClock
import kotlin.time.DurationUnit

/** Takes events of decisions. */
fun interface DecisionLog {
    /** Records [event]. */
    fun record(event: DecisionEvent)
}

/**
 * Writes events as structured log lines, at most [linesPerSecond] of them.
 *
 * Half of the lines are kept for what is not routine, so that failures and refusals are written first. How many lines
 * were left out is written as a line of its own.
 */
class BoundedDecisionLog(
    private val clock: MonotonicClock,
    private val linesPerSecond: Int,
    private val write: (DecisionEvent) -> Unit = ::writeLine,
) : DecisionLog {
    private var allowance = linesPerSecond.toDouble()
    private var updated = clock.now()
    private var dropped = 0L

    override fun record(event: DecisionEvent) {
        refill()
        val needed = if (event.isRoutine) linesPerSecond * RESERVED_SHARE else 1.0
        if (allowance < needed) {
            dropped++
            return
        }
        allowance--
        if (dropped > 0 && allowance >= 1) {
            allowance--
            write(DecisionEvent.LinesDropped(dropped))
            dropped = 0
        }
        write(event)
    }

    private fun refill() {
        val now = clock.now()
        val gained = (now - updated).toDouble(DurationUnit.SECONDS) * linesPerSecond
        allowance = minOf(allowance + gained, linesPerSecond.toDouble())
        updated = now
    }

    private companion object {
        /** The part of the lines that is kept for what is not routine. */
        const val RESERVED_SHARE = 0.5
    }
}

private val logger = KotlinLogging.logger("org.nutmegspring.decisions")

private fun writeLine(event: DecisionEvent) {
    logger.atInfo {
        message = event.name
        payload = event.fields().filterValues { it != null }
    }
}
