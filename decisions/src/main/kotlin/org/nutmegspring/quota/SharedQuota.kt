package org.nutmegspring.quota

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The rate of an organisation over all instances, in units per second, and the most units it may save up. */
data class QuotaRate(
    val unitsPerSecond: Double,
    val burst: Double,
)

/** What another process told of its charges to one organisation. */
data class PeerCharges(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val chargedUnits: Long,
    val heardAt: MonotonicTime,
)

/** The verdict on one request. */
sealed interface QuotaVerdict {
    /** The request is charged. */
    data object Admitted : QuotaVerdict

    /** The organisation is over its rate; enough units are there after [comeBackAfter]. */
    data class Exceeded(val comeBackAfter: Duration) : QuotaVerdict
}

/**
 * The quota of one organisation as one instance enforces it.
 *
 * Every instance keeps a bucket for the whole fleet and takes from it what it charges itself and what the others tell
 * that they charged. Load pattern: one organisation sends many times its rate through all instances at once. Charges
 * are seen by the others after one exchange, and a bucket below zero makes up for what ran ahead.
 *
 * An instance that is not heard may be charging its part unseen. The bucket then fills only with the part of the
 * instances that are heard, so that separated groups together stay within the rate.
 */
class SharedQuota(rate: QuotaRate, now: MonotonicTime) {
    private var rate = rate
    private var level = rate.burst
    private var updated = now
    private var part = 1.0
    private val seen = HashMap<InstanceId, PeerCharges>()

    /** Units that this process charged since its start. */
    var chargedUnits: Long = 0
        private set

    /** Changes the rate. Saved units above the new burst are lost at once. */
    fun resize(changed: QuotaRate, now: MonotonicTime) {
        advance(now)
        rate = changed
        level = minOf(level, changed.burst * part)
    }

    /** Takes what another instance charged since it was last heard. */
    fun heard(charges: PeerCharges, now: MonotonicTime) {
        advance(now)
        val last = seen.put(charges.instance, charges)
        val counted = if (last != null && last.incarnation == charges.incarnation) last.chargedUnits else 0
        level -= maxOf(0, charges.chargedUnits - counted)
    }

    /** Tells which of the [others] in the fleet take part; those not heard lately keep their part of the rate. */
    fun members(others: Collection<InstanceId>, now: MonotonicTime) {
        advance(now)
        seen.keys.retainAll(others.toSet())
        val fresh = others.count { id -> seen[id]?.let { now - it.heardAt < HEARD_WITHIN } ?: false }
        part = (fresh + 1.0) / (others.size + 1)
        level = minOf(level, rate.burst * part)
    }

    /** Charges [units] at [now] when the organisation is within its rate. */
    fun charge(units: Long, now: MonotonicTime): QuotaVerdict {
        advance(now)
        val needed = minOf(units.toDouble(), rate.burst * part)
        if (level >= needed) {
            level -= units
            chargedUnits += units
            return QuotaVerdict.Admitted
        }
        val fill = rate.unitsPerSecond * part
        if (fill <= 0) return QuotaVerdict.Exceeded(LONGEST_WAIT)
        return QuotaVerdict.Exceeded(((needed - level) / fill).seconds.coerceIn(SHORTEST_WAIT, LONGEST_WAIT))
    }

    /** Returns [units] of a charge whose request did not run. */
    fun refund(units: Long, now: MonotonicTime) {
        advance(now)
        level = minOf(level + units, rate.burst * part)
    }

    private fun advance(now: MonotonicTime) {
        if (now <= updated) return
        val filled = rate.unitsPerSecond * part * (now - updated).toDouble(DurationUnit.SECONDS)
        updated = now
        level = minOf(level + filled, maxOf(level, rate.burst * part))
    }

    private companion object {
        /** Several exchanges between instances; a shorter silence is usual when messages are lost. */
        val HEARD_WITHIN = 1500.milliseconds
        val SHORTEST_WAIT = 50.milliseconds
        val LONGEST_WAIT = 5.seconds
    }
}
