package org.nutmegspring.quota

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The rate of an organisation over all instances, in units per second, and the units it may use beyond the rate. */
data class QuotaRate(
    val unitsPerSecond: Double,
    val burst: Double,
)

/**
 * What another process told of its charges to one organisation.
 *
 * @property interval the time until it tells again
 * @property believedUntil when it counts as unheard, unless it tells again
 */
data class PeerCharges(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val chargedUnits: Long,
    val interval: Duration,
    val believedUntil: MonotonicTime,
)

/** The verdict on one request. */
sealed interface QuotaVerdict {
    /** The request is charged. */
    data object Admitted : QuotaVerdict

    /** The organisation is over its quota; enough units are there after [comeBackAfter]. */
    data class Exceeded(val comeBackAfter: Duration) : QuotaVerdict
}

/**
 * The quota of one organisation as one instance enforces it: in any [window] at most the rate over the window and the
 * burst.
 *
 * Every instance counts for the whole fleet: what it charges itself, and what the others tell that they charged.
 * Load pattern: one organisation sends many times its rate through all instances at once. Charges are seen by the
 * others after one exchange, and what ran ahead leaves less for the rest of the window. Until then they are expected to
 * go on as in the last second: in a large fleet, which tells less often, much is charged unseen.
 *
 * An instance that is not heard may be charging its part unseen. Then only the part of the instances that are heard is
 * given out, so that separated groups together stay within the quota.
 */
class SharedQuota(rate: QuotaRate, private val window: Duration, now: MonotonicTime) {
    private var rate = rate
    private var part = 1.0
    private val seen = HashMap<InstanceId, PeerCharges>()
    private val charged = SlidingSum(window, now)
    private val lately = SlidingSum(LATELY, now)
    private var interval = Duration.ZERO

    /** Units that this process charged since its start. */
    var chargedUnits: Long = 0
        private set

    /** Changes the rate. A lower one counts from now on: what was charged under the higher one was within it. */
    fun resize(changed: QuotaRate, now: MonotonicTime) {
        if (changed == rate) return
        if (allowance(changed) < allowance(rate)) charged.clear(now)
        rate = changed
    }

    /** Takes what another instance charged since it was last heard. */
    fun heard(charges: PeerCharges, now: MonotonicTime) {
        val last = seen.put(charges.instance, charges)
        val counted = if (last != null && last.incarnation == charges.incarnation) last.chargedUnits else 0
        val units = maxOf(0, charges.chargedUnits - counted)
        charged.add(units, now)
        lately.add(units, now)
        interval = charges.interval
    }

    /** Tells which of the [others] in the fleet take part; those not heard lately keep their part of the quota. */
    fun members(others: Collection<InstanceId>, now: MonotonicTime) {
        seen.keys.retainAll(others.toSet())
        val fresh = others.count { id -> seen[id]?.let { now < it.believedUntil } ?: false }
        part = (fresh + 1.0) / (others.size + 1)
    }

    /** Charges [units] at [now] when the organisation is within its quota. */
    fun charge(units: Long, now: MonotonicTime): QuotaVerdict {
        val limit = allowance(rate) * part
        val free = limit - charged.sum(now) - unseen(now)
        if (free >= minOf(units.toDouble(), limit)) {
            charged.add(units, now)
            chargedUnits += units
            return QuotaVerdict.Admitted
        }
        return QuotaVerdict.Exceeded(charged.timeUntilFreed(units - free, now) ?: window)
    }

    /** Returns [units] of a charge whose request did not run. The other instances go on counting them. */
    fun refund(units: Long, now: MonotonicTime) {
        charged.add(-units, now)
    }

    /** What the others may have charged since they told last, at most an interval ago. */
    private fun unseen(now: MonotonicTime): Double = maxOf(0, lately.sum(now)) * (interval / LATELY)

    private fun allowance(of: QuotaRate): Double = of.unitsPerSecond * window.toDouble(DurationUnit.SECONDS) + of.burst

    private companion object {
        /** Longer than the interval of a large fleet, shorter than a swing of load. */
        val LATELY = 1.seconds
    }
}
