package org.nutmegspring.gateway.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.nutmegspring.time.MonotonicClock
import kotlin.time.DurationUnit

/** Records decision events. */
fun interface DecisionLog {
    /** Records [event]. */
    fun record(event: DecisionEvent)
}

/**
 * Writes events as structured log lines, at most [linesPerSecond] of them.
 *
 * Half of the rate is reserved for events that are not routine, so that failures and refusals take precedence. Exempt
 * events are always written. The number of dropped lines is written as a line of its own.
 */
class BoundedDecisionLog(
    private val clock: MonotonicClock,
    private val linesPerSecond: Int,
    private val write: (DecisionEvent) -> Unit = ::writeLine,
) : DecisionLog {
    private var allowance = linesPerSecond.toDouble()
    private var refilledAt = clock.now()
    private var dropped = 0L

    override fun record(event: DecisionEvent) {
        refill()
        val needed = if (event.isRoutine) linesPerSecond * RESERVED_SHARE else 1.0
        if (allowance < needed && !event.isExempt) {
            dropped++
            return
        }
        allowance = (allowance - 1).coerceAtLeast(0.0)
        if (dropped > 0 && allowance >= 1) {
            allowance--
            write(DecisionEvent.LinesDropped(dropped))
            dropped = 0
        }
        write(event)
    }

    private fun refill() {
        val now = clock.now()
        val added = (now - refilledAt).toDouble(DurationUnit.SECONDS) * linesPerSecond
        allowance = minOf(allowance + added, linesPerSecond.toDouble())
        refilledAt = now
    }

    private companion object {
        /** Share of the rate that is reserved for events that are not routine. */
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
