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

/** How to record an intent before an order is sent to an engine. */
sealed interface IntentDecision {
    /** Replace the stored record by [record]. */
    data class Record(val record: EngineOrderRecord) : IntentDecision

    /** Carry out [record], the same intent that the store already contains. */
    data class Resume(val record: EngineOrderRecord) : IntentDecision

    /** A later lease holder, with the fencing token [by], has recorded an order, so this process must stop. */
    data class Superseded(val by: FencingToken) : IntentDecision
}

/** The progress of an order, derived from the state of its engine. */
enum class EngineOrderProgress {
    /** The engine has reached the target. */
    REACHED,

    /** The engine is changing its target. */
    CHANGING,

    /** The engine is still running requests. */
    OCCUPIED,

    /** The order can be sent. */
    SENDABLE,
}

/**
 * Decides which order to record for an engine and when it can be sent.
 *
 * An order is sent on a connection on which the engine has just reported its state. The engine closes a connection
 * unless the next request is complete within its request limit after the last answer. The order is sent only while the
 * lease outlasts that limit, so bytes that a paused process sends later arrive on a closed connection.
 */
open class EngineOrderRules(
    timing: LeaseTiming,
    requestLimit: Duration,
) {
    private val sendLimit = SendLimit(timing, requestLimit)

    /** Decides what to record before the lease holder with the token [fencing] orders [engine] to [target]. */
    open fun decideIntent(
        engine: EndpointId,
        target: EngineTarget,
        fencing: FencingToken,
        recorded: EngineOrderRecord?,
    ): IntentDecision = when {
        recorded == null -> IntentDecision.Record(createRecord(engine, target, fencing, 1))

        recorded.fencing > fencing -> IntentDecision.Superseded(recorded.fencing)

        recorded.toOrder() == EngineOrder(engine, target, fencing, recorded.sequence) &&
            recorded.outcome == OrderOutcome.INTENDED -> IntentDecision.Resume(recorded)

        else -> IntentDecision.Record(createRecord(engine, target, fencing, recorded.sequence + 1))
    }

    /** Returns the progress of the order [record] according to [state]. */
    open fun determineProgress(state: EngineState, record: EngineOrderRecord): EngineOrderProgress = when {
        state.changing -> EngineOrderProgress.CHANGING
        state.target == record.target -> EngineOrderProgress.REACHED
        state.runningRequests > 0 -> EngineOrderProgress.OCCUPIED
        else -> EngineOrderProgress.SENDABLE
    }

    /**
     * Whether an order with the token [fencing] can be sent on a connection whose last answer came at [answeredAt],
     * when no instance sends new work to the engine before [quietUntil].
     */
    open fun canSend(
        held: HeldLease?,
        fencing: FencingToken,
        answeredAt: MonotonicTime,
        quietUntil: MonotonicTime,
    ): Boolean = sendLimit.isCovered(held, fencing, answeredAt) && quietUntil > sendLimit.connectionClosedAt(answeredAt)

    /** Returns the earliest time to follow up an unanswered order on a connection last answered at [answeredAt]. */
    open fun earliestFollowUp(answeredAt: MonotonicTime): MonotonicTime = sendLimit.connectionClosedAt(answeredAt)

    private fun createRecord(
        engine: EndpointId,
        target: EngineTarget,
        fencing: FencingToken,
        sequence: Long,
    ): EngineOrderRecord = EngineOrderRecord(engine, target, fencing, sequence, OrderOutcome.INTENDED)
}
