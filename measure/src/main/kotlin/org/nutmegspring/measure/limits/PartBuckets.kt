package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.BucketRate
import org.nutmegspring.limits.TokenBucket
import org.nutmegspring.limits.tokenBucket
import org.nutmegspring.measure.virtual.VirtualSchedule

/** Full buckets with a part of each organisation's limit, and the same refund rule as the product. */
internal class PartBuckets(
    private val schedule: VirtualSchedule,
    limits: Map<OrganisationId, TokenRate>,
    parts: Int,
    clockRate: Double = 1.0,
) {
    private val buckets: Map<OrganisationId, TokenBucket> = limits.mapValues { (_, limit) ->
        val rate = BucketRate(limit.tokensPerSecond * clockRate / parts, limit.burstTokens.toDouble() / parts)
        tokenBucket(rate, rate.capacity, schedule.now())
    }

    /** Charges [request] and settles it later, or returns false. */
    fun admit(request: SimulatedRequest): Boolean {
        val bucket = buckets.getValue(request.organisation)
        if (bucket.available(schedule.now()) < request.tokens) return false
        val mark = bucket.charge(request.tokens, schedule.now())
        schedule.after(request.duration) { bucket.refund(request.tokens - request.used, mark, schedule.now()) }
        return true
    }
}
