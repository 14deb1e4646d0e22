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

/** The dependencies of keyed execution. Coroutines in [scope] outlive the requests that started them. */
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
 * Limits for keyed execution.
 *
 * @property ledgerCapacity the maximum number of runs in each of the two ledgers, for claims and for tickets
 * @property maximumWait how long a request waits for the outcome of its run, also when an earlier request started it
 */
data class ExecutionBounds(
    val ledgerCapacity: Int = 10_000,
    val maximumWait: Duration = 10.seconds,
    val ticketLifetime: Duration = 10.minutes,
    val claims: ClaimBounds = ClaimBounds(),
)

/** Runs calls of plain services. A call that is not repeatable runs at most once for each idempotency key. */
class KeyedServiceExecution(
    private val parts: ExecutionParts,
    private val bounds: ExecutionBounds = ExecutionBounds(),
) : ServiceExecution {
    private val claimStore = ClaimStore(parts.store)
    private val claimLedger = RunLedger<ClaimId>(bounds.ledgerCapacity, canEvict = true)
    private val ticketLedger = RunLedger<Ticket>(bounds.ledgerCapacity, canEvict = false)
    private val claimQueries =
        ClaimQueryExchange(parts.instance, parts.incarnation, parts.network, claimLedger, bounds.maximumWait)
    private val claimed = ClaimedExecution(
        parts.instance,
        parts.incarnation,
        claimStore,
        claimQueries,
        parts.attempts,
        parts.clock,
        parts.scope,
        bounds.claims,
    )
    private val claimedRuns = JoinedRuns(claimLedger, parts.scope, parts.clock, bounds.maximumWait)
    private val ticketed = TicketedExecution(
        TicketIssuer(parts.instance, parts.incarnation, parts.ticketSecret, bounds.ticketLifetime),
        JoinedRuns(ticketLedger, parts.scope, parts.clock, bounds.maximumWait),
        parts.attempts,
        parts.network,
        parts.clock,
    )

    init {
        parts.network.addHandler(claimQueries)
        parts.network.addHandler(ticketed)
    }

    /** Waits until no keyed run is in progress and each outcome is stored or its write was given up. */
    suspend fun awaitIdle() {
        while (claimLedger.countRunning() + ticketLedger.countRunning() + claimed.pendingWriteCount > 0) {
            delay(IDLE_POLL_INTERVAL)
        }
    }

    /** The number of writes and deletions of claims sent to the store. */
    val storeWriteCount: Long get() = claimStore.writeCount

    /** Issues a ticket for [organisation]: an idempotency key that works without the store. */
    fun issueTicket(organisation: OrganisationId?): Ticket = ticketed.issue(organisation)

    /** Returns how long [ticket], which this process issued, remains valid. */
    fun remainingLifetime(ticket: Ticket): Duration = ticketed.remainingLifetime(ticket)

    override suspend fun run(
        work: Work.ServiceCall,
        request: ServiceRequest,
        key: IdempotencyKey?,
    ): Either<Failure, ServiceOutcome> {
        if (work.isRepeatable || key == null) return parts.attempts.run(work, request).map { ServiceOutcome(it, true) }
        val call = KeyedCall(work, request, key)
        val ticket = parseTicket(key)
        if (ticket != null) return ticketed.run(call, ticket)
        val deadlines = RunDeadlines(acceptUntil = null, retainUntil = parts.clock.now())
        return claimedRuns.run(call.id, call.digest, deadlines) { claimed.run(call, it) }
    }

    private companion object {
        val IDLE_POLL_INTERVAL = 20.milliseconds
    }
}
