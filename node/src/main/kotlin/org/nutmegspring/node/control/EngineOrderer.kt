package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.order.EngineOrderProgress
import org.nutmegspring.order.EngineOrderRecord
import org.nutmegspring.order.EngineOrderRules
import org.nutmegspring.order.IntentDecision
import org.nutmegspring.order.OrderOutcome
import org.nutmegspring.order.orderKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Orders engines to target states under one lease, one order at a time per engine.
 *
 * Lock order: the lock of an engine is the only lock held, and it is held over the whole order.
 *
 * @property held the lease under which the orders are given, or null when it is not held
 */
class EngineOrderer(
    store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: EngineOrderRules,
    private val connections: EngineConnections,
    private val quiet: EngineQuiet,
    private val held: () -> HeldLease?,
) {
    private val records = StoredValues(store, EngineOrderRecord.serializer())
    private val locks = ConcurrentHashMap<EndpointId, Mutex>()
    private val deadlines = ConcurrentHashMap<EndpointId, MonotonicTime>()

    /** Whether no order of this process can still reach an engine. */
    fun isSettled(): Boolean = deadlines.values.all { it <= clock.now() }

    /**
     * Brings [engine] to [target]. Returns the order that brought it there, or a failure after which the target has
     * to be decided again.
     */
    suspend fun bring(engine: EndpointDescription, target: EngineTarget): Either<Failure, EngineOrderRecord> =
        locks.computeIfAbsent(engine.id) { Mutex() }.withLock {
            either {
                awaitDeadline(engine.id)
                val record = recordIntent(engine.id, target)
                repeat(MAXIMUM_ATTEMPTS) {
                    val judgement = attempt(engine, record)
                    if (judgement == EngineOrderProgress.REACHED) return@either recordReached(record)
                    delay(POLL_INTERVAL)
                }
                raise(failure(engine.id, Effect.UNKNOWN, "target $target was not reached"))
            }
        }

    private suspend fun Raise<Failure>.recordIntent(engine: EndpointId, target: EngineTarget): EngineOrderRecord {
        repeat(MAXIMUM_ATTEMPTS) {
            val fencing = authority(engine).fencing
            val current = records.read(orderKey(engine)).getOrElse { raise(it.toFailure(Step.READ_OBJECT)) }
            when (val decision = rules.decideIntent(engine, target, fencing, current?.value)) {
                is IntentDecision.Resume -> {
                    return decision.record
                }

                is IntentDecision.Superseded -> {
                    raise(superseded(engine, decision.by))
                }

                is IntentDecision.Record -> {
                    val written = records.write(orderKey(engine), decision.record, current.asCondition())
                    if (written.isRight()) return decision.record
                    delay(POLL_INTERVAL)
                }
            }
        }
        raise(failure(engine, Effect.NOT_RUN, "the intent could not be recorded"))
    }

    private suspend fun Raise<Failure>.attempt(
        engine: EndpointDescription,
        record: EngineOrderRecord,
    ): EngineOrderProgress {
        authority(engine.id)
        val connection = connections.open(engine).getOrElse { return EngineOrderProgress.CHANGING }
        return try {
            orderOn(connection, engine, record)
        } finally {
            connection.close()
        }
    }

    private suspend fun Raise<Failure>.orderOn(
        connection: EngineConnection,
        engine: EndpointDescription,
        record: EngineOrderRecord,
    ): EngineOrderProgress {
        val first = judge(connection, record)
        if (first == EngineOrderProgress.REACHED || first == EngineOrderProgress.CHANGING) return first
        val quietUntil = quiet.request(engine) ?: return EngineOrderProgress.OCCUPIED
        val second = judge(connection, record)
        val answeredAt = clock.now()
        if (second != EngineOrderProgress.SENDABLE) return second
        val maySend = rules.canSend(held(), record.fencing, answeredAt, quietUntil)
        return if (maySend) send(connection, record, answeredAt) else EngineOrderProgress.OCCUPIED
    }

    /** An engine that does not answer is treated as one that is changing. */
    private suspend fun judge(connection: EngineConnection, record: EngineOrderRecord): EngineOrderProgress =
        connection.state().fold({ EngineOrderProgress.CHANGING }, { rules.determineProgress(it, record) })

    private suspend fun Raise<Failure>.send(
        connection: EngineConnection,
        record: EngineOrderRecord,
        answeredAt: MonotonicTime,
    ): EngineOrderProgress {
        deadlines[record.engine] = rules.earliestFollowUp(answeredAt)
        val reply = connection.send(record.toOrder()).getOrNull()
        if (reply == null) awaitDeadline(record.engine) else deadlines.remove(record.engine)
        if (reply is EngineOrderReply.StaleFencing) raise(superseded(record.engine, reply.greatest))
        return EngineOrderProgress.CHANGING
    }

    private suspend fun recordReached(record: EngineOrderRecord): EngineOrderRecord {
        val reached = record.copy(outcome = OrderOutcome.REACHED)
        records.read(orderKey(record.engine)).getOrNull()?.let { current ->
            if (current.value == record) records.write(orderKey(record.engine), reached, current.asCondition())
        }
        return reached
    }

    private suspend fun awaitDeadline(engine: EndpointId) {
        val deadline = deadlines[engine] ?: return
        delay((deadline - clock.now()).coerceAtLeast(Duration.ZERO) + POLL_INTERVAL)
        deadlines.remove(engine)
    }

    private fun Raise<Failure>.authority(engine: EndpointId): HeldLease =
        held() ?: raise(failure(engine, Effect.UNKNOWN, "the lease is not held"))

    private fun superseded(engine: EndpointId, by: FencingToken): Failure =
        failure(engine, Effect.UNKNOWN, "a holder with fencing number $by gave an order")

    private fun failure(engine: EndpointId, effect: Effect, message: String): Failure =
        Failure(Step.ORDER, Peer("engine $engine"), effect, message, retryAfter = POLL_INTERVAL)

    private companion object {
        val POLL_INTERVAL = 250.milliseconds
        const val MAXIMUM_ATTEMPTS = 120
    }
}

/** Returns this failure with the step that met it. */
internal fun StoreFailure.toFailure(step: Step): Failure = when (this) {
    is StoreFailure.Refused -> failure
    is StoreFailure.Unanswered -> failure
    is StoreFailure.Conflict -> Failure(step, Peer.PLATFORM, Effect.NOT_RUN, "the object was changed meanwhile")
}
