package org.nutmegspring.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The account of one organisation at one instance.
 *
 * The limit of the organisation is divided into equal slots, and each slot is held by one instance for its life. This
 * ledger mints the tokens of the slots that its instance holds, spends them, grants them to other instances, and
 * spends what other instances granted. Tokens are debited from a slot before they are granted and stay reserved there
 * until they are known to be spent, returned or expired, so the organisation is charged at most its rate and burst
 * over all instances, whatever happens to messages and processes.
 *
 * The class is not safe for concurrent use.
 */
class OrganisationLedger internal constructor(
    private val settings: LimitSettings,
    self: InstanceId,
    limit: TokenRate,
    ownSlots: Int,
    private val bucket: TokenBucket,
    private val askNumbers: () -> Long,
    start: MonotonicTime,
) {
    private val issued = IssuedGrants(settings, bucket)
    private val received = ReceivedGrants()
    private val estimates = HolderEstimates(settings, self)
    private val demand = DemandEstimate(start)
    private val pending = HashMap<Long, GrantAsk>()

    /** The limit in force at this instance. */
    var limit: TokenRate = limit
        private set

    /** How many slots this instance holds and mints for. */
    var ownSlots: Int = ownSlots
        private set

    /** Notes a demand of [tokens]. Call it once for each request, before [charge]. */
    fun noteDemand(tokens: Long, now: MonotonicTime): Unit = demand.add(tokens, now)

    /**
     * Charges [tokens], or says what to do instead.
     *
     * @param round how often others were asked for the same request before
     */
    fun charge(tokens: Long, round: Int, now: MonotonicTime): ChargeDecision {
        if (tokens > limit.burstTokens) return ChargeDecision.Refused(null)
        val lacking = tokens - available(now)
        if (lacking <= 0) return ChargeDecision.Charged(take(tokens, now))
        val plan = if (round < settings.rounds) plan(lacking, round, now) else emptyList()
        if (plan.isEmpty()) return refuse(tokens, now)
        return ChargeDecision.Collect(plan.map { ask(it, now) })
    }

    private fun refuse(tokens: Long, now: MonotonicTime): ChargeDecision.Refused {
        val lacking = tokens - available(now) - estimates.total(settings.bucketRate(limit, 1), now)
        if (pending.isEmpty()) received.endAll()
        return ChargeDecision.Refused(waitFor(lacking))
    }

    /** Returns how many tokens can be charged without asking. */
    fun available(now: MonotonicTime): Long {
        issued.expire(now)
        return received.available(now) + bucket.available(now)
    }

    /** Replaces the amount of [charge] by [used]. Later calls do nothing. */
    fun settle(charge: TokenCharge, used: Long, now: MonotonicTime) {
        if (charge.settled) return
        charge.settled = true
        issued.expire(now)
        var unused = (charge.tokens - used).coerceAtLeast(0)
        charge.parts.forEach { part ->
            val refund = minOf(unused, part.tokens)
            unused -= refund
            if (refund > 0) refund(part, refund, now)
        }
    }

    /** Answers an ask of another instance. */
    fun grant(key: GrantKey, needed: Long, wanted: Long, now: MonotonicTime): Grant {
        val tokens = issued.issue(key, needed, wanted, now)
        return Grant(key.number, tokens, bucket.available(now))
    }

    /** Takes back [unspent] tokens in all of the grant [key]. */
    fun takeBack(key: GrantKey, unspent: Long, now: MonotonicTime): Unit = issued.takeBack(key, unspent, now)

    /** Takes the answer to [ask], sent from [askedAt] on. A repeated or late answer is dropped. */
    fun granted(ask: GrantAsk, grant: Grant, askedAt: MonotonicTime, now: MonotonicTime) {
        if (pending.remove(ask.number) == null) return
        estimates.told(ask.holder, grant.level, now)
        if (grant.tokens > 0) received.add(ask.holder, grant, askedAt + settings.grantLifetime)
    }

    /** Gives up on [ask]. Whatever is granted to it will not be spent, and the holder is told so. */
    fun unanswered(ask: GrantAsk, now: MonotonicTime) {
        if (pending.remove(ask.number) == null) return
        estimates.unreachable(ask.holder, now)
        received.abandon(ask, now)
    }

    /** Removes and returns what has to be reported to holders. A report that cannot be delivered may be dropped. */
    fun takeReports(now: MonotonicTime): List<GrantReturn> = received.takeReports(now)

    /** Whether grants of other instances are held or have to be reported about. */
    fun hasGrants(): Boolean = !received.isEmpty

    /** Applies the limit [changed]. What exceeds a smaller one is cut; a greater one starts at the present level. */
    fun apply(changed: TokenRate, now: MonotonicTime) {
        limit = changed
        bucket.resize(settings.bucketRate(changed, ownSlots), now)
    }

    /** Applies how many slots each instance holds, and for how many of them this instance mints. */
    fun assign(slots: Map<InstanceId, Int>, own: Int, now: MonotonicTime) {
        estimates.assign(slots)
        ownSlots = own
        bucket.resize(settings.bucketRate(limit, own), now)
    }

    /** Whether a new ledger would know as much at [now]. */
    fun isIdle(now: MonotonicTime): Boolean =
        pending.isEmpty() && received.available(now) == 0L && received.isEmpty && issued.isEmpty(now) &&
            bucket.isFull(now)

    private fun take(tokens: Long, now: MonotonicTime): TokenCharge {
        val granted = received.spend(tokens, now)
        val own = tokens - granted.sumOf { it.tokens }
        val parts = if (own > 0) granted + ChargePart.Own(own, bucket, bucket.charge(own, now)) else granted
        return TokenCharge(tokens, parts)
    }

    private fun refund(part: ChargePart, tokens: Long, now: MonotonicTime) {
        when (part) {
            is ChargePart.Own -> part.bucket.refund(tokens, part.mark, now)
            is ChargePart.Granted -> received.refund(part.grant, tokens, now)
        }
    }

    private fun plan(lacking: Long, round: Int, now: MonotonicTime): List<PlannedAsk> =
        estimates.plan(lacking, doubt = round > 0, settings.bucketRate(limit, 1), now)

    private fun ask(planned: PlannedAsk, now: MonotonicTime): GrantAsk {
        val wanted = demand.within(settings.prefetch, now)
        val ask = GrantAsk(planned.holder, askNumbers(), planned.tokens, wanted)
        pending[ask.number] = ask
        return ask
    }

    private fun waitFor(lacking: Long): Duration {
        if (limit.tokensPerSecond <= 0) return maximumWait
        return (lacking.toDouble() / limit.tokensPerSecond).seconds.coerceIn(leastWait, maximumWait)
    }

    private companion object {
        val leastWait = 0.05.seconds
        val maximumWait = 3600.seconds
    }
}

/** Returns the rate and capacity of [slots] slots of [limit], lowered so that a fast clock does not pass it. */
fun LimitSettings.bucketRate(limit: TokenRate, slots: Int): BucketRate {
    val part = slots.toDouble() / this.slots
    return BucketRate(limit.tokensPerSecond * part * (1 - clockRateTolerance), limit.burstTokens * part)
}
