package org.nutmegspring.measure.limits

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.measure.fault.FaultScenario
import org.nutmegspring.measure.fault.ScenarioOutcome
import kotlin.time.Duration.Companion.seconds

/** The limits of three organisations at five instances, whose clocks differ by up to a hundredth. */
class LimitScenario : FaultScenario {
    override val name: String = "limits"

    override val defects: List<Defect> = listOf(
        CHARGE_AFTER_DISPATCH,
        SUCCESSOR_STARTS_FULL,
        GRANTS_NOT_RESERVED,
        LIFETIME_FROM_RECEIPT,
        REFUND_CLAMPED,
    )

    override fun run(seed: Long, steps: Int, defect: Defect?): ScenarioOutcome {
        val admission = if (defect == CHARGE_AFTER_DISPATCH) ChargeAfterDispatch else ChargeBeforeDispatch
        return LimitRun(seed, options(defect), admission).run(steps)
    }

    private fun options(defect: Defect?): WorldOptions = when (defect) {
        SUCCESSOR_STARTS_FULL -> sound.copy(buckets = { rate, _, now -> FullStartBucket(rate, now) })
        REFUND_CLAMPED -> sound.copy(buckets = ::ClampedRefundBucket)
        LIFETIME_FROM_RECEIPT -> sound.copy(lifetimeFrom = { _, receivedAt -> receivedAt })
        GRANTS_NOT_RESERVED -> sound.copy(settings = settings.copy(returnAllowance = -settings.grantLifetime))
        else -> sound
    }

    private companion object {
        val CHARGE_AFTER_DISPATCH = defect("charge after dispatch")
        val SUCCESSOR_STARTS_FULL = defect("successor starts full")
        val GRANTS_NOT_RESERVED = defect("grants not counted as outstanding")
        val LIFETIME_FROM_RECEIPT = defect("receiver counts the lifetime from receipt")
        val REFUND_CLAMPED = defect("refund without the overflow rule")

        val settings = LimitSettings(
            slots = 6,
            grantLifetime = 2.seconds,
            returnAllowance = 0.1.seconds,
            prefetch = 0.3.seconds,
            clockRateTolerance = 0.01,
            refundRetention = 10.seconds,
            rebalanceDelay = 2.seconds,
            takeOverDelay = 3.seconds,
        )
        val sound = WorldOptions(settings, instances = 5, clockSpread = 0.01)

        fun defect(name: String) = Defect(name, setOf(Invariant.RATE_CEILING))
    }
}
