package org.nutmegspring.order

import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.lease.SendLimit
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** What to record before an engine is ordered to a target. */
sealed interface IntentDecision {
    /** Record [record] in place of what the store holds. */
    data class Record(val record: EngineOrderRecord) : IntentDecision

    /** The store already holds this intent, so it is [record] that has to be carried out. */
    data class Resume(val record: EngineOrderRecord) : IntentDecision

    /** A later holder has recorded an order. This process is no longer in charge. */
    data class Superseded(val by: FencingToken) : IntentDecision
}

/** What follows from the state of an engine. */
enum class EngineJudgement {
    /** The engine has reached the target. */
    REACHED,

    /** The engine is carrying out an order. */
    CHANGING,

    /** The engine still holds requests. */
    OCCUPIED,

    /** The order can be sent. */
    SENDABLE,
}

/**
 * Decides about orders to one engine at a time.
 *
 * An order is sent on a connection on which the engine has just told its state. The engine closes a connection on
 * which the next request is not complete within its request limit after the last answer. The order is sent only while
 * the lease still outlasts that limit, so bytes that a paused process sends later meet a closed connection.
 */
open class EngineOrderRules(
    timing: LeaseTiming,
    requestLimit: Duration,
) {
    private val sendLimit = SendLimit(timing, requestLimit)

    /** Returns what to record so that [engine] is ordered to [target] by the holder of [fencing]. */
    open fun intent(
        engine: EndpointId,
        target: EngineTarget,
        fencing: FencingToken,
        recorded: EngineOrderRecord?,
    ): IntentDecision = when {
        recorded == null -> IntentDecision.Record(record(engine, target, fencing, 1))

        recorded.fencing > fencing -> IntentDecision.Superseded(recorded.fencing)

        recorded.toOrder() == EngineOrder(engine, target, fencing, recorded.sequence) &&
            recorded.outcome == OrderOutcome.INTENDED -> IntentDecision.Resume(recorded)

        else -> IntentDecision.Record(record(engine, target, fencing, recorded.sequence + 1))
    }

    /** Returns what follows from [state] for the order [record]. */
    open fun judge(state: EngineState, record: EngineOrderRecord): EngineJudgement = when {
        state.changing -> EngineJudgement.CHANGING
        state.target == record.target -> EngineJudgement.REACHED
        state.runningRequests > 0 -> EngineJudgement.OCCUPIED
        else -> EngineJudgement.SENDABLE
    }

    /**
     * Whether an order of [fencing] may be sent on a connection that was answered at [answeredAt] while no instance
     * sends work to the engine before [quietUntil].
     */
    open fun maySend(
        held: HeldLease?,
        fencing: FencingToken,
        answeredAt: MonotonicTime,
        quietUntil: MonotonicTime,
    ): Boolean = sendLimit.isCovered(held, fencing, answeredAt) && quietUntil > sendLimit.closedAfter(answeredAt)

    /** When the next order may follow one that got no answer on a connection that was answered at [answeredAt]. */
    open fun deadlineAfter(answeredAt: MonotonicTime): MonotonicTime = sendLimit.closedAfter(answeredAt)

    private fun record(
        engine: EndpointId,
        target: EngineTarget,
        fencing: FencingToken,
        sequence: Long,
    ): EngineOrderRecord = EngineOrderRecord(engine, target, fencing, sequence, OrderOutcome.INTENDED)
}
