package org.nutmegspring.node.execution

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.nutmegspring.execution.RecordedHeader
import org.nutmegspring.execution.Ticket
import org.nutmegspring.execution.TicketIssuer
import org.nutmegspring.execution.parseTicket
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.engine.Header
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.Work
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.TicketCall
import org.nutmegspring.protocol.TicketCallReply
import org.nutmegspring.protocol.createReportedFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.security.SecureRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs calls that carry a ticket. Only the process that issued the ticket runs its call. It retains the run until the
 * ticket has expired, so nothing needs to be stored. Other instances forward the call to that process.
 */
internal class TicketedExecution(
    private val issuer: TicketIssuer,
    private val runs: JoinedRuns<Ticket>,
    private val attempts: ServiceAttempts,
    private val network: InnerNetwork,
    private val clock: MonotonicClock,
    private val forwardTimeout: Duration = 30.seconds,
) : InnerHandler {
    private val random = SecureRandom()

    /** Issues a ticket for [organisation]. */
    fun issue(organisation: OrganisationId?): Ticket = issuer.issue(organisation, random.nextLong(), clock.now())

    /** Returns how long [ticket], which this process issued, remains valid. */
    fun remainingLifetime(ticket: Ticket): Duration = issuer.remainingLifetime(ticket, clock.now())

    /** Runs [call] in this process if it issued [ticket]; otherwise forwards it to the instance that did. */
    suspend fun run(call: KeyedCall, ticket: Ticket): Either<Failure, ServiceOutcome> =
        if (issuer.isForThisProcess(ticket)) runLocally(call, ticket) else forward(call, ticket)

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? {
        if (request !is TicketCall) return null
        val ticket = parseTicket(request.ticket)
        val outcome = if (ticket == null || !issuer.isForThisProcess(ticket)) {
            issuerEndedFailure().left()
        } else {
            runLocally(createCall(request), ticket)
        }
        return outcome.fold(
            { TicketCallReply(failure = createReportedFailure(it)) },
            { TicketCallReply(createRecordedAnswer(it.answer), it.executed) },
        )
    }

    private suspend fun runLocally(call: KeyedCall, ticket: Ticket): Either<Failure, ServiceOutcome> {
        if (!issuer.hasIssued(ticket, call.work.organisation)) return invalidTicketFailure().left()
        val now = clock.now()
        val acceptUntil = now + issuer.remainingLifetime(ticket, now)
        return runs.run(ticket, call.digest, RunDeadlines(acceptUntil, retainUntil = acceptUntil)) {
            execute(call, acceptUntil)
        }
    }

    private suspend fun execute(call: KeyedCall, acceptUntil: MonotonicTime): RunOutcome =
        attempts.run(call.work, call.request, { clock.now() <= acceptUntil }).fold(
            { if (it.effect == Effect.NOT_RUN) RunOutcome.NotRun(it) else RunOutcome.Unknown(it) },
            { RunOutcome.Completed(it) },
        )

    private suspend fun forward(call: KeyedCall, ticket: Ticket): Either<Failure, ServiceOutcome> {
        val request = call.request
        val message = TicketCall(
            organisation = call.work.organisation,
            ticket = call.key,
            service = call.work.service,
            request = request.id,
            method = request.method,
            path = request.path,
            headers = request.headers.map { RecordedHeader(it.name, it.value) },
            body = request.body,
        )
        return network.exchange(ticket.instance, message, forwardTimeout).flatMap { reply ->
            (reply as? TicketCallReply)?.let(::createOutcome) ?: issuerEndedFailure().left()
        }
    }

    private fun createOutcome(reply: TicketCallReply): Either<Failure, ServiceOutcome> {
        reply.answer?.let { return ServiceOutcome(createServiceAnswer(it), reply.executed).right() }
        return (reply.failure?.toFailure() ?: issuerEndedFailure()).left()
    }

    private fun createCall(message: TicketCall): KeyedCall {
        val work = Work.ServiceCall(message.organisation, message.service, isRepeatable = false)
        val headers = message.headers.map { Header(it.name, it.value) }
        val request = ServiceRequest(message.request, message.method, message.path, headers, message.body)
        return KeyedCall(work, request, message.ticket)
    }

    private fun invalidTicketFailure() =
        Failure(Step.CLAIM, Peer.CALLER, Effect.NOT_RUN, "the ticket was not issued for this organisation")

    private fun issuerEndedFailure() = outcomeUnknownFailure(Peer.SELF, "the process that issued the ticket has ended")
}
