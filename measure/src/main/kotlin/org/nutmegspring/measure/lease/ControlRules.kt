package org.nutmegspring.measure.lease

import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.lease.LeaseWrite
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.order.EndpointOrderRules
import org.nutmegspring.order.EngineOrderRecord
import org.nutmegspring.order.EngineOrderRules
import org.nutmegspring.order.IntentDecision
import org.nutmegspring.order.OrderOutcome
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.PoolState
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The rules of one randomised run: those of the product, or one of them with a defect. */
internal class ControlRules(
    val lease: LeaseRules = LeaseRules(TIMING, TIMING.readInterval),
    val engine: EngineOrderRules = EngineOrderRules(TIMING, REQUEST_LIMIT),
    val endpoints: EndpointOrderRules = EndpointOrderRules(),
    val asksForQuiet: Boolean = true,
) {
    companion object {
        /** Clock rates of the run differ by up to a tenth, so that a missing margin is seen. */
        val TIMING = LeaseTiming(
            duration = 5.seconds,
            renewInterval = 1.seconds,
            readInterval = 200.milliseconds,
            clockRateBound = CLOCK_RATE_BOUND,
        )

        /** Returns a clock rate near one of the bounds. */
        fun clockRate(random: Random): Double =
            1.0 + (if (random.nextBoolean()) CLOCK_RATE_BOUND else -CLOCK_RATE_BOUND) * random.nextDouble()

        private const val CLOCK_RATE_BOUND = 0.05
        val REQUEST_LIMIT = 2.seconds
    }
}

/** The defects of [ControlScenario], each with the rules that have it. */
internal enum class ControlDefect(
    val defect: Defect,
    val rules: () -> ControlRules,
) {
    /** The next holder waits only for a part of the lease. */
    NO_MARGIN(
        Defect("lease without clock margin", setOf(Invariant.ONE_HOLDER, Invariant.NO_EFFECT_FROM_STALE_HOLDER)),
        { ControlRules(lease = LeaseRulesWithoutMargin()) },
    ),

    /** The holder counts its lease from when the reply came. */
    COUNTED_FROM_REPLY(
        Defect("lease counted from the reply", setOf(Invariant.ONE_HOLDER, Invariant.NO_EFFECT_FROM_STALE_HOLDER)),
        { ControlRules(lease = LeaseRulesFromReply()) },
    ),

    /** The lease is checked, but not against the limit of the connection. */
    LIMIT_NOT_COVERED(
        Defect("lease does not cover the engine's limit", setOf(Invariant.NO_EFFECT_FROM_STALE_HOLDER)),
        { ControlRules(engine = EngineRulesWithoutCover()) },
    ),

    /** The next order does not wait until bytes of an unanswered one meet a closed connection. */
    LIMIT_NOT_AWAITED(
        Defect(
            "next order or release before the engine's limit",
            setOf(Invariant.NO_CONFLICTING_ORDERS, Invariant.NO_EFFECT_FROM_STALE_HOLDER),
        ),
        { ControlRules(engine = EngineRulesWithoutDeadline()) },
    ),

    /** An order is sent without its record. */
    NO_INTENT(
        Defect("order without recorded intent", setOf(Invariant.NO_CONFLICTING_ORDERS)),
        { ControlRules(engine = EngineRulesWithoutIntent()) },
    ),

    /** Nobody is asked to stop sending work to the engine. */
    NO_QUIET(
        Defect("role change without quiet engine", setOf(Invariant.NO_CUT_BY_PLANNED_CHANGE)),
        { ControlRules(asksForQuiet = false) },
    ),

    /** An order of endpoints is decided again after its reply was lost. */
    ORDERED_AGAIN(
        Defect("order of endpoints decided again after a lost reply", setOf(Invariant.ORDERED_ONCE)),
        { ControlRules(endpoints = EndpointRulesWithRepeat()) },
    ),
}

private class LeaseRulesWithoutMargin : LeaseRules(ControlRules.TIMING, ControlRules.TIMING.readInterval) {
    override fun takeoverWait(duration: Duration): Duration = duration
}

private class LeaseRulesFromReply : LeaseRules(ControlRules.TIMING, ControlRules.TIMING.readInterval) {
    override fun leaseGrantedBy(write: LeaseWrite, now: MonotonicTime): HeldLease? =
        super.leaseGrantedBy(write, now)?.copy(since = now)
}

private class EngineRulesWithoutCover : EngineOrderRules(ControlRules.TIMING, ControlRules.REQUEST_LIMIT) {
    override fun canSend(
        held: HeldLease?,
        fencing: FencingToken,
        answeredAt: MonotonicTime,
        quietUntil: MonotonicTime,
    ): Boolean = held?.fencing == fencing
}

private class EngineRulesWithoutDeadline : EngineOrderRules(ControlRules.TIMING, ControlRules.REQUEST_LIMIT) {
    override fun earliestFollowUp(answeredAt: MonotonicTime): MonotonicTime = answeredAt
}

private class EngineRulesWithoutIntent : EngineOrderRules(ControlRules.TIMING, ControlRules.REQUEST_LIMIT) {
    override fun decideIntent(
        engine: EndpointId,
        target: EngineTarget,
        fencing: FencingToken,
        recorded: EngineOrderRecord?,
    ): IntentDecision {
        val sequence = (recorded?.sequence ?: 0) + 1
        return IntentDecision.Resume(EngineOrderRecord(engine, target, fencing, sequence, OrderOutcome.INTENDED))
    }
}

private class EndpointRulesWithRepeat : EndpointOrderRules() {
    override fun retryOrder(order: EndpointOrder, state: PoolState): EndpointOrder =
        order.copy(expectedGeneration = state.generation + 1, orderId = order.orderId + "#")
}
