package org.nutmegspring.node.limits

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.TokenCount
import org.nutmegspring.limits.ChargeDecision
import org.nutmegspring.limits.TokenCharge
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.time.MonotonicTime
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Charges requests to the slots that this instance holds and to tokens granted by other instances.
 *
 * During the first seconds after the start, other instances may not be reachable yet. A request that would be refused
 * is then retried until this startup period ends.
 */
class SharedRateLimiter internal constructor(
    private val limits: SharedLimitTable,
    private val exchange: GrantExchange,
    private val slotDuty: SlotDuty,
    private val meters: LimitMeters,
) : RateLimiter {
    private val startupEndsAt = limits.withTable { now -> now + startupPeriod }
    private val slotHoldersKnown = CompletableDeferred<Unit>()
    private var slotJob: Job? = null

    /** Launches in [scope] slot allocation, reporting, and the query of slot holders from peers in [membership]. */
    fun start(membership: Membership, scope: CoroutineScope) {
        slotJob = scope.launch { slotDuty.run { slotHoldersKnown.complete(Unit) } }
        scope.launch { exchange.reportPeriodically() }
        scope.launch { fetchSlotHolders(membership) }
    }

    /** Stops generating tokens and releases all slots, unless the store does not answer within [timeout]. */
    suspend fun stop(timeout: Duration = 2.seconds) {
        limits.withTable { now -> stop(now) }
        withTimeoutOrNull(timeout) {
            slotJob?.cancelAndJoin()
            exchange.sendReports()
            while (slotDuty.reconcile().getOrNull() != 0) delay(retryInterval)
        }
    }

    override suspend fun charge(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge> {
        if (!slotHoldersKnown.isCompleted) withTimeoutOrNull(startupPeriod) { slotHoldersKnown.await() }
        limits.withTable { now -> ledger(organisation, now)?.recordDemand(tokens.value, now) }
        while (true) {
            val outcome = attempt(organisation, tokens)
            val canRetry = outcome.leftOrNull()?.retryAfter != null && limits.withTable { now -> now < startupEndsAt }
            if (!canRetry) return outcome.onLeft { meters.refusals.increment() }
            delay(retryInterval)
        }
    }

    private suspend fun attempt(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge> {
        var round = 0
        while (true) {
            val (decision, decidedAt) = decide(organisation, tokens, round++)
            when (decision) {
                null -> return createRefusal("the organisation is not configured", null)
                is ChargeDecision.Charged -> return createCharge(organisation, decision.charge).right()
                is ChargeDecision.Refused -> return createRefusal(organisation, tokens, decision.retryAfter)
                is ChargeDecision.RequestGrants -> exchange.requestGrants(organisation, decision.requests, decidedAt)
            }
        }
    }

    private fun decide(organisation: OrganisationId, tokens: TokenCount, round: Int) = limits.withTable { now ->
        TimedDecision(ledger(organisation, now)?.charge(tokens.value, round, now), now)
    }

    private fun createCharge(organisation: OrganisationId, charge: TokenCharge): Charge {
        meters.chargedTokens.increment(charge.tokens.toDouble())
        return SettleableCharge(organisation, charge)
    }

    private fun createRefusal(organisation: OrganisationId, tokens: TokenCount, retryAfter: Duration?) = createRefusal(
        when (retryAfter) {
            null -> "$tokens tokens exceed the burst limit of organisation $organisation"
            else -> "organisation $organisation has reached its rate limit"
        },
        retryAfter,
    )

    private fun createRefusal(message: String, retryAfter: Duration?): Either<Failure, Charge> =
        Failure(Step.CHARGE, Peer.SELF, Effect.NOT_RUN, message, retryAfter).left()

    private suspend fun fetchSlotHolders(membership: Membership) {
        while (!slotHoldersKnown.isCompleted) {
            if (membership.peers().any { exchange.fetchSlotHolders(it.id) }) slotHoldersKnown.complete(Unit)
            delay(retryInterval)
        }
    }

    private data class TimedDecision(val decision: ChargeDecision?, val at: MonotonicTime)

    private inner class SettleableCharge(
        private val organisation: OrganisationId,
        private val charge: TokenCharge,
    ) : Charge {
        private val isSettled = AtomicBoolean()

        override fun settle(used: TokenCount) {
            if (!isSettled.compareAndSet(false, true)) return
            limits.withTable { now -> ledger(organisation, now)?.settle(charge, used.value, now) }
            meters.unusedTokens.increment((charge.tokens - used.value).coerceAtLeast(0).toDouble())
        }
    }

    private companion object {
        val startupPeriod = 5.seconds
        val retryInterval = 100.milliseconds
    }
}
