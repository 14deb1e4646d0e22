package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The token account of one organisation at one instance.
 *
 * The limit of the organisation is divided into equal slots, each held by one process for as long as it runs. This
 * ledger generates the tokens of the slots that its instance holds, spends them or grants them to other instances, and
 * spends what other instances granted. Tokens are debited from a slot before they are granted and stay reserved there
 * until they are known to be spent, returned or expired. The organisation is therefore charged at most its rate and
 * burst over all instances, even when messages are lost and processes fail.
 *
 * The class is not safe for concurrent use.
 */
class OrganisationLedger internal constructor(
    private val settings: LimitSettings,
    self: InstanceId,
    limit: TokenRate,
    ownSlots: Int,
    private val bucket: TokenBucket,
    private val nextRequestNumber: () -> Long,
    startedAt: MonotonicTime,
) {
    private val issued = IssuedGrants(settings, bucket)
    private val received = ReceivedGrants()
    private val estimates = HolderEstimates(settings, self)
    private val demand = DemandEstimate(startedAt)
    private val pending = HashMap<Long, GrantRequest>()

    /** The limit in force at this instance. */
    var limit: TokenRate = limit
        private set

    /** The number of slots whose tokens this instance generates. */
    var ownSlots: Int = ownSlots
        private set

    /** Records a demand of [tokens]. Call it once per request, before [charge]. */
    fun recordDemand(tokens: Long, now: MonotonicTime): Unit = demand.record(tokens, now)

    /**
     * Charges [tokens], or returns which grants to request first, or refuses.
     *
     * @param round how many times other holders were already asked for tokens for the same request
     */
    fun charge(tokens: Long, round: Int, now: MonotonicTime): ChargeDecision {
        if (tokens > limit.burstTokens) return ChargeDecision.Refused(null)
        val shortfall = tokens - available(now)
        if (shortfall <= 0) return ChargeDecision.Charged(chargeAvailable(tokens, now))
        val plan = if (round < settings.maximumRounds) planRequests(shortfall, round, now) else emptyList()
        if (plan.isEmpty()) return refuse(tokens, now)
        return ChargeDecision.RequestGrants(plan.map { createRequest(it, now) })
    }

    private fun refuse(tokens: Long, now: MonotonicTime): ChargeDecision.Refused {
        val shortfall = tokens - available(now) - estimates.totalEstimate(settings.bucketRate(limit, 1), now)
        if (pending.isEmpty()) received.closeAll()
        return ChargeDecision.Refused(retryDelay(shortfall))
    }

    /** Returns the number of tokens that can be charged without requesting grants. */
    fun available(now: MonotonicTime): Long {
        issued.expire(now)
        return received.available(now) + bucket.available(now)
    }

    /** Reduces [charge] to the [used] tokens and refunds the rest. Further calls for the same charge have no effect. */
    fun settle(charge: TokenCharge, used: Long, now: MonotonicTime) {
        if (charge.isSettled) return
        charge.isSettled = true
        issued.expire(now)
        var unused = (charge.tokens - used).coerceAtLeast(0)
        charge.parts.forEach { part ->
            val refund = minOf(unused, part.tokens)
            unused -= refund
            if (refund > 0) refund(part, refund, now)
        }
    }

    /** Issues a grant for the request of another instance. The grant may be of zero tokens. */
    fun grant(key: GrantKey, needed: Long, wanted: Long, now: MonotonicTime): Grant {
        val tokens = issued.issue(key, needed, wanted, now)
        return Grant(key.number, tokens, bucket.available(now))
    }

    /** Reclaims tokens of the grant [key], of which [unspent] in total were reported as unspent so far. */
    fun reclaim(key: GrantKey, unspent: Long, now: MonotonicTime): Unit = issued.reclaim(key, unspent, now)

    /**
     * Records the reply [grant] to [request].
     *
     * The lifetime of the grant is measured from [requestedAt], before the request was sent. A duplicate or late reply
     * is ignored.
     */
    fun recordGrant(request: GrantRequest, grant: Grant, requestedAt: MonotonicTime, now: MonotonicTime) {
        if (pending.remove(request.number) == null) return
        estimates.recordLevel(request.holder, grant.level, now)
        if (grant.tokens > 0) received.add(request.holder, grant, requestedAt + settings.grantLifetime)
    }

    /** Gives up on [request]. Tokens granted to it later are not spent, and are reported to the holder as unspent. */
    fun recordUnanswered(request: GrantRequest, now: MonotonicTime) {
        if (pending.remove(request.number) == null) return
        estimates.recordUnanswered(request.holder, now)
        received.abandon(request, now)
    }

    /** Removes and returns the pending reports to holders. A report that cannot be delivered may be dropped. */
    fun drainReports(now: MonotonicTime): List<GrantReturn> = received.drainReports(now)

    /** Whether this instance has grants of other instances to spend or to report on. */
    fun hasGrants(): Boolean = !received.isEmpty

    /** Applies [newLimit]. A smaller burst cuts the level to its capacity; a larger one keeps the current level. */
    fun apply(newLimit: TokenRate, now: MonotonicTime) {
        limit = newLimit
        bucket.resize(settings.bucketRate(newLimit, ownSlots), now)
    }

    /** Applies the number of slots of each instance, and the number whose tokens this instance generates. */
    fun updateSlots(slots: Map<InstanceId, Int>, own: Int, now: MonotonicTime) {
        estimates.updateSlots(slots)
        ownSlots = own
        bucket.resize(settings.bucketRate(limit, own), now)
    }

    /** Whether this ledger has no state at [now] that a new one would lack. */
    fun isIdle(now: MonotonicTime): Boolean =
        pending.isEmpty() && received.available(now) == 0L && received.isEmpty && issued.isEmpty(now) &&
            bucket.isFull(now)

    private fun chargeAvailable(tokens: Long, now: MonotonicTime): TokenCharge {
        val grantedParts = received.spend(tokens, now)
        val own = tokens - grantedParts.sumOf { it.tokens }
        val parts = if (own > 0) grantedParts + ChargePart.Own(own, bucket, bucket.charge(own, now)) else grantedParts
        return TokenCharge(tokens, parts)
    }

    private fun refund(part: ChargePart, tokens: Long, now: MonotonicTime) {
        when (part) {
            is ChargePart.Own -> part.bucket.refund(tokens, part.mark, now)
            is ChargePart.Granted -> received.refund(part.grant, tokens, now)
        }
    }

    private fun planRequests(shortfall: Long, round: Int, now: MonotonicTime): List<PlannedRequest> =
        estimates.planRequests(shortfall, distrustStale = round > 0, settings.bucketRate(limit, 1), now)

    private fun createRequest(planned: PlannedRequest, now: MonotonicTime): GrantRequest {
        val wanted = demand.expectedWithin(settings.prefetch, now)
        val request = GrantRequest(planned.holder, nextRequestNumber(), planned.tokens, wanted)
        pending[request.number] = request
        return request
    }

    private fun retryDelay(shortfall: Long): Duration {
        if (limit.tokensPerSecond <= 0) return maximumRetryDelay
        return (shortfall.toDouble() / limit.tokensPerSecond).seconds.coerceIn(minimumRetryDelay, maximumRetryDelay)
    }

    private companion object {
        val minimumRetryDelay = 0.05.seconds
        val maximumRetryDelay = 3600.seconds
    }
}

/** Returns the rate and capacity of [slots] slots of [limit]. The rate is reduced to allow for a fast clock. */
fun LimitSettings.bucketRate(limit: TokenRate, slots: Int): BucketRate {
    val share = slots.toDouble() / this.slots
    return BucketRate(limit.tokensPerSecond * share * (1 - clockRateTolerance), limit.burstTokens * share)
}
