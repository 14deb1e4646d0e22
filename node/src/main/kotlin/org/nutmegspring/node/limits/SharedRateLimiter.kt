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
 * Charges the slots of this instance, and what other instances grant.
 *
 * In the first seconds, while other instances may not be reachable yet, a request waits rather than be refused.
 */
class SharedRateLimiter internal constructor(
    private val limits: SharedLimitTable,
    private val exchange: GrantExchange,
    private val slots: SlotDuty,
    private val meters: LimitMeters,
) : RateLimiter {
    private val startEnds = limits.use { now -> now + startPeriod }
    private val slotsKnown = CompletableDeferred<Unit>()
    private var slotJob: Job? = null

    /** Takes slots, reports to holders and learns from [membership] who holds the slots, in [scope]. */
    fun start(membership: Membership, scope: CoroutineScope) {
        slotJob = scope.launch { slots.run { slotsKnown.complete(Unit) } }
        scope.launch { exchange.keepReporting() }
        scope.launch { learnSlots(membership) }
    }

    /** Stops minting and hands all slots back, as far as the store answers within [timeout]. */
    suspend fun stop(timeout: Duration = 2.seconds) {
        limits.use { now -> stop(now) }
        withTimeoutOrNull(timeout) {
            slotJob?.cancelAndJoin()
            exchange.report()
            while (slots.pass().getOrNull() != 0) delay(retryInterval)
        }
    }

    override suspend fun charge(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge> {
        if (!slotsKnown.isCompleted) withTimeoutOrNull(startPeriod) { slotsKnown.await() }
        limits.use { now -> ledger(organisation, now)?.recordDemand(tokens.value, now) }
        while (true) {
            val outcome = attempt(organisation, tokens)
            val mayRetry = outcome.leftOrNull()?.retryAfter != null && limits.use { now -> now < startEnds }
            if (!mayRetry) return outcome.onLeft { meters.refusals.increment() }
            delay(retryInterval)
        }
    }

    private suspend fun attempt(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge> {
        var round = 0
        while (true) {
            val (decision, decidedAt) = decide(organisation, tokens, round++)
            when (decision) {
                null -> return refused("the organisation is not configured", null)
                is ChargeDecision.Charged -> return charged(organisation, decision.charge).right()
                is ChargeDecision.Refused -> return refused(organisation, tokens, decision.retryAfter)
                is ChargeDecision.RequestGrants -> exchange.collect(organisation, decision.requests, decidedAt)
            }
        }
    }

    private fun decide(organisation: OrganisationId, tokens: TokenCount, round: Int) = limits.use { now ->
        Decided(ledger(organisation, now)?.charge(tokens.value, round, now), now)
    }

    private fun charged(organisation: OrganisationId, charge: TokenCharge): Charge {
        meters.chargedTokens.increment(charge.tokens.toDouble())
        return SettledCharge(organisation, charge)
    }

    private fun refused(organisation: OrganisationId, tokens: TokenCount, retryAfter: Duration?) = refused(
        when (retryAfter) {
            null -> "$tokens tokens exceed the burst of organisation $organisation"
            else -> "organisation $organisation has reached its rate"
        },
        retryAfter,
    )

    private fun refused(message: String, retryAfter: Duration?): Either<Failure, Charge> =
        Failure(Step.CHARGE, Peer.SELF, Effect.NOT_RUN, message, retryAfter).left()

    private suspend fun learnSlots(membership: Membership) {
        while (!slotsKnown.isCompleted) {
            if (membership.peers().any { exchange.learnSlots(it.id) }) slotsKnown.complete(Unit)
            delay(retryInterval)
        }
    }

    private data class Decided(val decision: ChargeDecision?, val at: MonotonicTime)

    private inner class SettledCharge(
        private val organisation: OrganisationId,
        private val charge: TokenCharge,
    ) : Charge {
        private val settled = AtomicBoolean()

        override fun settle(used: TokenCount) {
            if (!settled.compareAndSet(false, true)) return
            limits.use { now -> ledger(organisation, now)?.settle(charge, used.value, now) }
            meters.unusedTokens.increment((charge.tokens - used.value).coerceAtLeast(0).toDouble())
        }
    }

    private companion object {
        val startPeriod = 5.seconds
        val retryInterval = 100.milliseconds
    }
}
