package org.nutmegspring.measure.usage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.FaultWorld
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.node.control.UsageReportConnection
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** A connection from [process] to the platform, which closes it when it is idle for too long. */
internal class VirtualUsageConnection(
    private val process: VirtualProcess,
    private val world: FaultWorld,
    private val faults: CallFaults,
    private val beforeReport: () -> Unit,
    private val accept: (UsageReport) -> Unit,
) : UsageReportConnection {
    private var closesAt: MonotonicTime = world.schedule.now() + UsageRules.REQUEST_LIMIT

    override suspend fun prepare(): Either<Failure, Unit> = call { }

    override suspend fun send(report: UsageReport): Either<Failure, Unit> {
        beforeReport()
        return call { accept(report) }
    }

    override fun close() = Unit

    private suspend fun call(effect: () -> Unit): Either<Failure, Unit> = process.call { resume ->
        process.after(TIMEOUT) { resume(UNANSWERED.left()) }
        faults.requestDelay()?.let { delay -> world.schedule.after(delay) { arrive(effect, resume) } }
    }

    private fun arrive(effect: () -> Unit, resume: (Either<Failure, Unit>) -> Unit) {
        if (world.schedule.now() > closesAt) return
        effect()
        closesAt = world.schedule.now() + UsageRules.REQUEST_LIMIT
        faults.replyDelay()?.let { delay -> world.schedule.after(delay) { resume(Unit.right()) } }
    }

    private companion object {
        val TIMEOUT = 1.seconds
        val UNANSWERED = Failure(Step.REPORT_USAGE, Peer.PLATFORM, Effect.UNKNOWN, "no answer within $TIMEOUT")
    }
}
