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
 * Sends orders that bring engines to their target states under one lease, one order at a time per engine.
 *
 * Lock order: the lock of an engine is the only lock, and it is held for the whole duration of an order.
 *
 * @property heldLease returns the lease under which orders are sent, or null if this process does not hold it
 */
class EngineOrderer(
    store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: EngineOrderRules,
    private val connections: EngineConnections,
    private val quietCoordinator: QuietCoordinator,
    private val heldLease: () -> HeldLease?,
) {
    private val records = TypedObjectStore(store, EngineOrderRecord.serializer())
    private val locks = ConcurrentHashMap<EndpointId, Mutex>()
    private val connectionClosedAt = ConcurrentHashMap<EndpointId, MonotonicTime>()

    /** Whether no order sent by this process can still take effect at an engine. */
    fun isSettled(): Boolean = connectionClosedAt.values.all { it <= clock.now() }

    /**
     * Brings [engine] to [target]. Returns the order that did so, or a failure after which the caller must decide again
     * on the target.
     */
    suspend fun reconcile(engine: EndpointDescription, target: EngineTarget): Either<Failure, EngineOrderRecord> =
        locks.computeIfAbsent(engine.id) { Mutex() }.withLock {
            either {
                awaitConnectionClosed(engine.id)
                val record = recordIntent(engine.id, target)
                repeat(MAXIMUM_ATTEMPTS) {
                    val progress = attemptOrder(engine, record)
                    if (progress == EngineOrderProgress.REACHED) return@either recordReached(record)
                    delay(POLL_INTERVAL)
                }
                raise(createFailure(engine.id, Effect.UNKNOWN, "the engine did not reach the target $target"))
            }
        }

    private suspend fun Raise<Failure>.recordIntent(engine: EndpointId, target: EngineTarget): EngineOrderRecord {
        repeat(MAXIMUM_ATTEMPTS) {
            val fencing = requireLease(engine).fencing
            val current = records.read(orderKey(engine)).getOrElse { raise(it.toFailure(Step.READ_OBJECT)) }
            when (val decision = rules.decideIntent(engine, target, fencing, current?.value)) {
                is IntentDecision.Resume -> {
                    return decision.record
                }

                is IntentDecision.Superseded -> {
                    raise(createSupersededFailure(engine, decision.by))
                }

                is IntentDecision.Record -> {
                    val written = records.write(orderKey(engine), decision.record, current.toWriteCondition())
                    if (written.isRight()) return decision.record
                    delay(POLL_INTERVAL)
                }
            }
        }
        raise(createFailure(engine, Effect.NOT_RUN, "the intent could not be written to the store"))
    }

    private suspend fun Raise<Failure>.attemptOrder(
        engine: EndpointDescription,
        record: EngineOrderRecord,
    ): EngineOrderProgress {
        requireLease(engine.id)
        val connection = connections.open(engine).getOrElse { return EngineOrderProgress.CHANGING }
        return try {
            orderOverConnection(connection, engine, record)
        } finally {
            connection.close()
        }
    }

    private suspend fun Raise<Failure>.orderOverConnection(
        connection: EngineConnection,
        engine: EndpointDescription,
        record: EngineOrderRecord,
    ): EngineOrderProgress {
        val first = readProgress(connection, record)
        if (first == EngineOrderProgress.REACHED || first == EngineOrderProgress.CHANGING) return first
        val quietUntil = quietCoordinator.requestQuiet(engine) ?: return EngineOrderProgress.OCCUPIED
        val second = readProgress(connection, record)
        val answeredAt = clock.now()
        if (second != EngineOrderProgress.SENDABLE) return second
        val canSend = rules.canSend(heldLease(), record.fencing, answeredAt, quietUntil)
        return if (canSend) send(connection, record, answeredAt) else EngineOrderProgress.OCCUPIED
    }

    /** Returns the progress of the order [record]. An engine that does not answer counts as changing. */
    private suspend fun readProgress(connection: EngineConnection, record: EngineOrderRecord): EngineOrderProgress =
        connection.readState().fold({ EngineOrderProgress.CHANGING }, { rules.determineProgress(it, record) })

    private suspend fun Raise<Failure>.send(
        connection: EngineConnection,
        record: EngineOrderRecord,
        answeredAt: MonotonicTime,
    ): EngineOrderProgress {
        connectionClosedAt[record.engine] = rules.earliestFollowUp(answeredAt)
        val reply = connection.send(record.toOrder()).getOrNull()
        if (reply == null) awaitConnectionClosed(record.engine) else connectionClosedAt.remove(record.engine)
        if (reply is EngineOrderReply.StaleFencing) raise(createSupersededFailure(record.engine, reply.greatest))
        return EngineOrderProgress.CHANGING
    }

    private suspend fun recordReached(record: EngineOrderRecord): EngineOrderRecord {
        val reached = record.copy(outcome = OrderOutcome.REACHED)
        records.read(orderKey(record.engine)).getOrNull()?.let { current ->
            if (current.value == record) records.write(orderKey(record.engine), reached, current.toWriteCondition())
        }
        return reached
    }

    private suspend fun awaitConnectionClosed(engine: EndpointId) {
        val deadline = connectionClosedAt[engine] ?: return
        delay((deadline - clock.now()).coerceAtLeast(Duration.ZERO) + POLL_INTERVAL)
        connectionClosedAt.remove(engine)
    }

    private fun Raise<Failure>.requireLease(engine: EndpointId): HeldLease =
        heldLease() ?: raise(createFailure(engine, Effect.UNKNOWN, "the lease is not held"))

    private fun createSupersededFailure(engine: EndpointId, by: FencingToken): Failure =
        createFailure(engine, Effect.UNKNOWN, "superseded by a lease holder with the fencing token $by")

    private fun createFailure(engine: EndpointId, effect: Effect, message: String): Failure =
        Failure(Step.ORDER, Peer("engine $engine"), effect, message, retryAfter = POLL_INTERVAL)

    private companion object {
        val POLL_INTERVAL = 250.milliseconds
        const val MAXIMUM_ATTEMPTS = 120
    }
}

/** Returns the cause of this failure, or for a conflict, a failure of [step]. */
internal fun StoreFailure.toFailure(step: Step): Failure = when (this) {
    is StoreFailure.Refused -> failure
    is StoreFailure.Unanswered -> failure
    is StoreFailure.EraChanged -> Failure(step, Peer.PLATFORM, Effect.UNKNOWN, "the era $from of the store has ended")
    is StoreFailure.Conflict -> Failure(step, Peer.PLATFORM, Effect.NOT_RUN, "the object was changed concurrently")
}
