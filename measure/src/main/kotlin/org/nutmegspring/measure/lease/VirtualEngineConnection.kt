package org.nutmegspring.measure.lease

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.node.control.EngineConnection
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * A connection from [process] to [engine]. Bytes that arrive after the engine closed it have no effect.
 *
 * @property authorised whether the process is in charge of the engine at this time
 */
internal class VirtualEngineConnection(
    private val process: VirtualProcess,
    private val engine: VirtualEngine,
    private val world: ControlWorld,
    private val faults: CallFaults,
    private val beforeOrder: () -> Unit,
    private val authorised: (EngineOrder) -> Boolean,
) : EngineConnection {
    private val start = engine.starts
    private var closesAt: MonotonicTime = engine.closesAt()

    override suspend fun readState(): Either<Failure, EngineState> = call { engine.state() }

    override suspend fun send(order: EngineOrder): Either<Failure, EngineOrderReply> {
        beforeOrder()
        return call { engine.accept(order, authorised(order)) }
    }

    override fun close() = Unit

    private suspend fun <T> call(effect: () -> T): Either<Failure, T> = process.call { resume ->
        process.after(TIMEOUT) { resume(UNANSWERED.left()) }
        faults.requestDelay()?.let { delay ->
            world.schedule.after(delay) { if (isOpen()) answer(effect(), resume) }
        }
    }

    private fun isOpen(): Boolean = start == engine.starts && world.schedule.now() <= closesAt

    private fun <T> answer(result: T, resume: (Either<Failure, T>) -> Unit) {
        closesAt = engine.closesAt()
        faults.replyDelay()?.let { delay -> world.schedule.after(delay) { resume(result.right()) } }
    }

    private companion object {
        val TIMEOUT = 1.seconds
        val UNANSWERED = Failure(Step.SEND, Peer("engine"), Effect.UNKNOWN, "no answer within $TIMEOUT")
    }
}
