package org.nutmegspring.node.execution

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.nutmegspring.execution.ClaimId
import org.nutmegspring.execution.Ticket
import org.nutmegspring.execution.TicketIssuer
import org.nutmegspring.execution.parseTicket
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.Work
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** What keyed execution needs of its surroundings. Coroutines in [scope] outlive the requests that began them. */
class ExecutionParts(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val store: ObjectStore,
    val network: InnerNetwork,
    val attempts: ServiceAttempts,
    val clock: MonotonicClock,
    val scope: CoroutineScope,
    val ticketSecret: ByteArray,
)

/**
 * The sizes and times of keyed execution.
 *
 * @property remembered how many runs of each kind a process remembers
 * @property patience how long a request waits for a run that another request began
 */
data class ExecutionBounds(
    val remembered: Int = 10_000,
    val patience: Duration = 10.seconds,
    val ticketLifetime: Duration = 10.minutes,
    val claims: ClaimBounds = ClaimBounds(),
)

/** Runs calls of plain services, and those that are not repeatable at most once for each idempotency key. */
class KeyedServiceExecution(
    private val parts: ExecutionParts,
    private val bounds: ExecutionBounds = ExecutionBounds(),
) : ServiceExecution {
    private val claimStore = ClaimStore(parts.store)
    private val claimLedger = RunLedger<ClaimId>(bounds.remembered, evicts = true)
    private val ticketLedger = RunLedger<Ticket>(bounds.remembered, evicts = false)
    private val claimants =
        Claimants(parts.instance, parts.incarnation, parts.network, claimLedger, bounds.patience)
    private val claimed = ClaimedExecution(
        parts.instance,
        parts.incarnation,
        claimStore,
        claimants,
        parts.attempts,
        parts.clock,
        parts.scope,
        bounds.claims,
    )
    private val claimedRuns = JoinedRuns(claimLedger, parts.scope, parts.clock, bounds.patience)
    private val ticketed = TicketedExecution(
        TicketIssuer(parts.instance, parts.incarnation, parts.ticketSecret, bounds.ticketLifetime),
        JoinedRuns(ticketLedger, parts.scope, parts.clock, bounds.patience),
        parts.attempts,
        parts.network,
        parts.clock,
    )

    init {
        parts.network.addHandler(claimants)
        parts.network.addHandler(ticketed)
    }

    /** Waits until no keyed run is left and the outcomes of all are stored or given up. */
    suspend fun awaitIdle() {
        while (claimLedger.running() + ticketLedger.running() + claimed.pendingWrites > 0) delay(IDLE_CHECK_INTERVAL)
    }

    /** How many writes and deletions of claims were sent to the store. */
    val storeWrites: Long get() = claimStore.writes

    /** Issues a ticket for [organisation]: an idempotency key that needs no store. */
    fun issueTicket(organisation: OrganisationId?): Ticket = ticketed.issue(organisation)

    /** Returns how long [ticket], which this process issued, is accepted. */
    fun lifetimeOf(ticket: Ticket): Duration = ticketed.lifetime(ticket)

    override suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        key: IdempotencyKey?,
    ): Either<Failure, ServiceOutcome> {
        if (work.isRepeatable || key == null) return parts.attempts.run(work, request).map { ServiceOutcome(it, true) }
        val call = KeyedCall(work, request, key)
        val ticket = parseTicket(key)
        if (ticket != null) return ticketed.run(call, ticket)
        val times = RunTimes(acceptUntil = null, keepUntil = parts.clock.now())
        return claimedRuns.run(call.id, call.digest, times) { claimed.run(call, it) }
    }

    private companion object {
        val IDLE_CHECK_INTERVAL = 20.milliseconds
    }
}
