package org.nutmegspring.quota

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The quota of an organisation over all instances.
 *
 * @property burst the units that it may use in a window beyond the rate
 */
data class QuotaRate(
    val unitsPerSecond: Double,
    val burst: Double,
)

/**
 * A report by another process of its charges to one organisation.
 *
 * @property chargedUnits the units charged since that process started, null if they are as reported before, or none
 * @property runningFor the time since that process started
 * @property reportInterval the time until its next report
 * @property expiresAt when the report expires unless a newer one arrives; the instance then counts as unreachable
 */
data class PeerCharges(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val chargedUnits: Long?,
    val runningFor: Duration,
    val reportInterval: Duration,
    val expiresAt: MonotonicTime,
)

/** The decision on charging one request. */
sealed interface QuotaDecision {
    /** The request is charged. */
    data object Admitted : QuotaDecision

    /** The organisation is over its quota. Enough units are expected to be free after [retryAfter]. */
    data class Exceeded(val retryAfter: Duration) : QuotaDecision
}

/**
 * The quota of one organisation as enforced by one instance: at most `rate * window + burst` units in any [window].
 *
 * Every instance counts the charges of the whole fleet: its own and those that the other instances report. The expected
 * worst case is one organisation that sends many times its rate through all instances at once. An instance learns of
 * the others' charges with their next report, and units charged beyond the quota until then reduce what is left of the
 * window. Charges not yet reported are estimated from those of the last second, because they are significant in a large
 * fleet, which reports less often.
 *
 * An instance whose reports have stopped may still be charging its share of the quota. The others then use only the
 * shares of the instances they can reach, so that the groups of a partitioned fleet together stay within the quota.
 *
 * A process forgets its charges when it ends, but the others remember them, and tell a process that starts what the
 * fleet charged in each part of the window ([history]). Until it knows that, it estimates it from the totals of the
 * others. When most instances start within a window, nobody knows what was charged before. The part of the window that
 * they have not seen then counts as used up.
 *
 * @param processStartedAt when this process started, null if no charges can precede it
 */
class SharedQuota(
    rate: QuotaRate,
    private val window: Duration,
    now: MonotonicTime,
    processStartedAt: MonotonicTime? = null,
) {
    /** A rate that was lowered, and counts until [validUntil] for what was charged since [since]. */
    private class HigherRate(val rate: QuotaRate, val since: MonotonicTime, val validUntil: MonotonicTime)

    private class ReceivedCharges(val charges: PeerCharges, val receivedAt: MonotonicTime)

    private var rate = rate
    private var rateSince = now - window
    private val higherRates = mutableListOf<HigherRate>()
    private var availableShare = 1.0
    private var members = 1
    private val lastReports = HashMap<InstanceId, ReceivedCharges>()
    private val charged = SlidingSum(window, now)

    /** What others charged before this instance listened to them, as estimated until their history is known. */
    private val estimatedEarlier = SlidingSum(window, now)
    private val listeningSince = now
    private var hasHistory = false
    private var completeSince = processStartedAt ?: (now - window)
    private val recentlyReported = SlidingSum(RECENT_WINDOW, now)
    private var reportInterval = Duration.ZERO

    private var reportedUnits = 0L
    private var reportedAt: MonotonicTime? = null

    /** The units that this process has charged since it started. */
    var chargedUnits: Long = 0
        private set

    /** The units that this process has charged since [reportChargedUnits] was last called. */
    val unreportedUnits: Long get() = chargedUnits - reportedUnits

    /** Returns [chargedUnits] for a report to the other instances at [now]. */
    fun reportChargedUnits(now: MonotonicTime): Long {
        reportedUnits = chargedUnits
        reportedAt = now
        return chargedUnits
    }

    /**
     * Changes the rate.
     *
     * When the quota is lowered, earlier charges do not count against the lower one, because they were within the
     * higher one. Until the window has passed, they count against the higher one, together with the charges from [now]
     * on. A quota that is raised replaces those that it exceeds.
     */
    fun resize(newRate: QuotaRate, now: MonotonicTime) {
        if (newRate == rate) return
        if (allowance(newRate) < allowance(rate)) {
            higherRates += HigherRate(rate, rateSince, validUntil = now + window)
            rateSince = now
        } else {
            val replaced = higherRates.filter { allowance(it.rate) <= allowance(newRate) }
            higherRates -= replaced.toSet()
            rateSince = replaced.minOfOrNull { it.since } ?: rateSince
        }
        rate = newRate
    }

    /** Returns what may still be charged at [now], of [share] of each quota that counts, before unreported units. */
    private fun computeAvailable(share: Double, now: MonotonicTime): Double {
        higherRates.removeAll { it.validUntil <= now }
        val earlier = estimatedEarlier.sum(now)
        val lowest = allowance(rate) * share - charged.sumSince(rateSince, now) - earlier
        return higherRates.fold(lowest) { available, higher ->
            minOf(available, allowance(higher.rate) * share - charged.sumSince(higher.since, now) - earlier)
        }
    }

    /**
     * Records the units that another instance has charged since its previous report.
     *
     * If the time since then is longer than the window, the units are assumed to be spread evenly over it, and those
     * charged before the window do not count.
     */
    fun recordPeerCharges(charges: PeerCharges, now: MonotonicTime) {
        val last = lastReports[charges.instance]?.takeIf { it.charges.incarnation == charges.incarnation }
        val counted = last?.charges?.chargedUnits ?: 0
        val chargedUnits = charges.chargedUnits ?: counted
        lastReports[charges.instance] = ReceivedCharges(charges.copy(chargedUnits = chargedUnits), now)
        val span = if (last == null) charges.runningFor else now - last.receivedAt
        val shareInWindow = if (span > window) window / span else 1.0
        val units = (maxOf(0, chargedUnits - counted) * shareInWindow).toLong()
        val listened = now - listeningSince
        val later = if (last == null && span > listened) (units * (listened / minOf(span, window))).toLong() else units
        charged.add(later, now)
        if (!hasHistory) estimatedEarlier.add(units - later, now)
        recentlyReported.add(later, now)
        reportInterval = charges.reportInterval
    }

    /** Returns how far back this instance knows at [now] what the fleet has charged, at most the window. */
    fun coverage(now: MonotonicTime): Duration = minOf(now - completeSince, window)

    /** Whether the [history] of an instance with [coverage] tells this one at [now] much that it does not know. */
    fun needsHistory(coverage: Duration, now: MonotonicTime): Boolean =
        coverage > coverage(now) + MINIMUM_HISTORY_GAIN

    /** Returns what the fleet has charged in the window, as the units of equal parts of it, the newest first. */
    fun history(now: MonotonicTime): List<Long> = charged.slices(now)

    /**
     * Takes over what the fleet charged before this instance listened to the others, from the [history] of one that
     * knows it for the time of [coverage].
     */
    fun adoptHistory(coverage: Duration, history: List<Long>, now: MonotonicTime) {
        if (!needsHistory(coverage, now)) return
        charged.replaceBefore(listeningSince, history, now)
        estimatedEarlier.clear(now)
        hasHistory = true
        completeSince = now - coverage
    }

    /**
     * Updates the list of the [others] in the fleet.
     *
     * An instance whose last report has expired keeps its share of the quota, which this instance may not use.
     */
    fun updateMembers(others: Collection<InstanceId>, now: MonotonicTime) {
        lastReports.keys.retainAll(others.toSet())
        val reachable = others.count { id -> lastReports[id]?.let { now < it.charges.expiresAt } ?: false }
        members = others.size + 1
        availableShare = (reachable + 1.0) / members
    }

    /** Charges [units] at [now] if the organisation stays within its quota. */
    fun charge(units: Long, now: MonotonicTime): QuotaDecision {
        val unseen = computeUnseenShare(now)
        val share = availableShare * (1 - unseen).coerceAtLeast(MINIMUM_START_SHARE)
        val limit = allowance(rate) * share
        val available = computeAvailable(share, now) - estimateUnreported(now)
        if (available >= minOf(units.toDouble(), limit)) {
            charged.add(units, now)
            chargedUnits += units
            return QuotaDecision.Admitted
        }
        val wait = charged.timeUntilFreed(units - available, now) ?: window
        return QuotaDecision.Exceeded(if (unseen > 0) minOf(wait, START_RETRY_AFTER) else wait)
    }

    /** Returns the share of the quota that nobody knows to be unused, 0 unless most instances have just started. */
    private fun computeUnseenShare(now: MonotonicTime): Double {
        val own = computeUnseenTime(coverage(now))
        if (own == 0.0) return 0.0
        val others = lastReports.values.sumOf { computeUnseenTime(it.charges.runningFor + (now - it.receivedAt)) }
        return ((own + others) / members).takeIf { it >= MINIMUM_UNSEEN_SHARE } ?: 0.0
    }

    /** Returns the part of the window that was over when a process that has been [running] for some time started. */
    private fun computeUnseenTime(running: Duration): Double = (1 - running / window).coerceIn(0.0, 1.0)

    /**
     * Refunds [units] of a request that was charged at [chargedAt] and did not run. Units that were reported in the
     * meantime are refunded here only: the other instances keep counting them.
     */
    fun refund(units: Long, chargedAt: MonotonicTime, now: MonotonicTime) {
        charged.subtract(units, chargedAt, now)
        val isReported = reportedAt?.let { chargedAt <= it } ?: false
        if (!isReported) chargedUnits -= units
    }

    /** Estimates the units that other instances have charged since their last report, at most one interval ago. */
    private fun estimateUnreported(now: MonotonicTime): Double =
        maxOf(0, recentlyReported.sum(now)) * (reportInterval / RECENT_WINDOW)

    private fun allowance(rate: QuotaRate): Double =
        rate.unitsPerSecond * window.toDouble(DurationUnit.SECONDS) + rate.burst

    /** Holds the limit of what is worth telling. */
    companion object {
        /** Several report intervals of a small fleet. A history that reaches back less far is not worth telling. */
        val MINIMUM_HISTORY_GAIN = 500.milliseconds

        /** Longer than the report interval of a large fleet, shorter than typical load variations. */
        private val RECENT_WINDOW = 1.seconds

        /** Below this the others know most of what was charged, and their reports tell it. */
        private const val MINIMUM_UNSEEN_SHARE = 0.3

        /** Lets the first requests after a start of the whole fleet in, whatever was charged before. */
        private const val MINIMUM_START_SHARE = 0.1

        /** The share that may be used grows with the time since the start. */
        private val START_RETRY_AFTER = 1.seconds
    }
}
