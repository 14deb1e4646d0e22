package org.nutmegspring.measure.usage

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.lease.SendLimit
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.usage.FixedWindow
import org.nutmegspring.usage.UsageBatch
import org.nutmegspring.usage.WindowRules
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The rules of one randomised run: those of the product, or one of them with a defect. */
internal class UsageRules(
    val window: WindowRules = WindowRules(RETENTION),
    val sendLimit: SendLimit = SendLimit(TIMING, REQUEST_LIMIT),
    val recomputesAtReport: Boolean = false,
    val releasesWhenSettled: Boolean = true,
) {
    companion object {
        val TIMING = LeaseTiming(
            duration = 5.seconds,
            renewInterval = 1.seconds,
            readInterval = 200.milliseconds,
            clockRateBound = 0.05,
        )
        val REQUEST_LIMIT = 2.seconds
        val WINDOW = 4.seconds
        val GRACE = 2.seconds
        const val RETENTION = 60L
    }
}

/** The defects of [UsageScenario], each with the rules that have it. */
internal enum class UsageDefect(
    val defect: Defect,
    val rules: () -> UsageRules,
) {
    /** A window does not remember which batches earlier ones took in. */
    INCLUDED_FORGOTTEN(
        Defect("batches of earlier windows forgotten", setOf(Invariant.USAGE_COUNTED_ONCE)),
        { UsageRules(window = RulesWithoutMemory()) },
    ),

    /** A batch that is kept by two instances counts twice. */
    COPIES_COUNTED(
        Defect("kept copies counted beside the original", setOf(Invariant.USAGE_COUNTED_ONCE)),
        { UsageRules(window = RulesWithCopies()) },
    ),

    /** Late batches are left out. */
    LATE_LEFT_OUT(
        Defect("late batches left out", setOf(Invariant.USAGE_COMPLETE)),
        { UsageRules(window = WindowRules(retention = 0)) },
    ),

    /** The figures are made anew for each report. */
    RECOMPUTED(
        Defect(
            "figures made anew for each report",
            setOf(Invariant.ONE_FIGURE_PER_WINDOW, Invariant.USAGE_COUNTED_ONCE),
        ),
        { UsageRules(recomputesAtReport = true) },
    ),

    /** The lease is released while a report may still be under way. */
    RELEASED_EARLY(
        Defect("lease released before reports are settled", setOf(Invariant.ONE_REPORTER)),
        { UsageRules(releasesWhenSettled = false) },
    ),

    /** The lease is checked, but not against the limit of the connection. */
    LIMIT_NOT_COVERED(
        Defect("lease does not cover the platform's limit", setOf(Invariant.ONE_REPORTER)),
        { UsageRules(sendLimit = SendLimit(UsageRules.TIMING, Duration.ZERO)) },
    ),
}

private class RulesWithoutMemory : WindowRules(UsageRules.RETENTION) {
    override fun nextWindow(previous: FixedWindow, candidates: Collection<UsageBatch>): FixedWindow =
        super.nextWindow(previous.copy(included = emptyList()), candidates)
}

private class RulesWithCopies : WindowRules(UsageRules.RETENTION) {
    override fun nextWindow(previous: FixedWindow, candidates: Collection<UsageBatch>): FixedWindow {
        val copies = candidates.take(1).map { it.copy(number = -it.number) }
        return super.nextWindow(previous, candidates + copies)
    }
}
