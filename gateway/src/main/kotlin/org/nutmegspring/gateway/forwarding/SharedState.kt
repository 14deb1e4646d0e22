package org.nutmegspring.gateway.forwarding

import org.nutmegspring.currency.FreshnessEvidence
import org.nutmegspring.gateway.configuration.OrganisationDefinition
import org.nutmegspring.gateway.configuration.QuotaUnit
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.ChargeHistoryReport
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.quota.PeerCharges
import org.nutmegspring.quota.QuotaDecision
import org.nutmegspring.quota.SharedQuota
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The configuration in force at this instance. It never reverts to an older version. */
class CurrentConfiguration(private val log: DecisionLog) {
    /** The configuration, or null before the first. */
    var configuration: ServingConfiguration? = null
        private set

    private val evidence = FreshnessEvidence()

    /** The calls for configurations that the store has answered, whatever version it showed. */
    val answers = FreshnessEvidence()

    private var newestReported = 0L
    private var behindSince: MonotonicTime? = null

    /**
     * Records that a call that began at [callStartedAt] was answered, and that the store shows version [shown], null
     * for none. This is no evidence while the store shows an older version than one known to any instance. If it goes
     * on to show the version of this instance when others have a newer one, earlier answers were no evidence either.
     */
    fun recordAnswer(shown: Long?, callStartedAt: MonotonicTime) {
        answers.recordConfirmation(callStartedAt)
        val newestKnown = maxOf(configuration?.version ?: return, newestReported)
        val isLeftBehind = behindSince?.let { callStartedAt - it > CATCH_UP_TIME } ?: false
        when {
            shown != null && shown >= newestKnown -> evidence.recordConfirmation(callStartedAt)
            isLeftBehind -> evidence.clear()
        }
    }

    /** Records the newest version that other instances report at [now], null for none. */
    fun recordReported(version: Long?, now: MonotonicTime) {
        newestReported = version ?: 0
        val isBehind = newestReported > (configuration?.version ?: 0)
        behindSince = if (isBehind) behindSince ?: now else null
    }

    /** Returns the age by [ages] of the evidence that the configuration is the newest, or null without evidence. */
    fun evidenceAge(ages: AgeClock): Duration? = evidence.age(ages)

    /** Whether there is evidence that is less than [limit] old by [ages]. */
    fun hasEvidence(limit: Duration, ages: AgeClock): Boolean = evidence.isYoungerThan(limit, ages)

    /** Applies [offered] if it is newer than the current configuration. Returns whether it was applied. */
    fun offer(offered: ServingConfiguration): Boolean {
        val previous = configuration
        if (previous != null && offered.version <= previous.version) return false
        configuration = offered
        log.record(
            DecisionEvent.ConfigurationApplied(
                offered.version,
                previous?.version,
                offered.routes.size,
                offered.organisations.size,
            ),
        )
        return true
    }

    private companion object {
        /** Several times what a change takes to reach all instances. */
        val CATCH_UP_TIME = 500.milliseconds
    }
}

/** The quotas of all organisations at this instance. */
class QuotaTable(
    private val clock: MonotonicClock,
    private val wallClockMilliseconds: () -> Long = System::currentTimeMillis,
    private val window: () -> Duration?,
) {
    private val quotas = HashMap<OrganisationId, SharedQuota>()
    private val processStartedAt = clock.now()
    private var nextRepeated = 0

    /** Updates the quota rates from [configuration]. Without a window to enforce them in there are none. */
    fun configure(configuration: ServingConfiguration) {
        val now = clock.now()
        val window = window() ?: return quotas.clear()
        for (organisation in configuration.organisations) {
            val rate = organisation.quota
            val known = quotas[organisation.id]
            when {
                rate == null -> quotas.remove(organisation.id)
                known == null -> quotas[organisation.id] = SharedQuota(rate, window, now, processStartedAt)
                else -> known.resize(rate, now)
            }
        }
        quotas.keys.retainAll(configuration.organisations.map { it.id }.toSet())
    }

    /** Records the charges reported by another instance. */
    fun recordPeerReport(report: PeerReport) {
        val now = clock.now()
        for ((organisation, quota) in quotas) {
            val charges = PeerCharges(
                instance = report.instance,
                incarnation = report.incarnation,
                chargedUnits = report.charges[organisation],
                runningFor = findRunningTime(report),
                reportInterval = report.intervalMilliseconds.milliseconds,
                expiresAt = now + report.lifetime(MINIMUM_REPORT_LIFETIME),
            )
            quota.recordPeerCharges(charges, now)
            report.chargeHistory?.let { history ->
                val coverage = history.coverageMilliseconds.milliseconds
                quota.adoptHistory(coverage, history.units[organisation].orEmpty(), now)
            }
        }
    }

    /** A step of the wall clock, here or at the sender, would move the charges of the sender out of the window. */
    private fun findRunningTime(report: PeerReport): Duration {
        val milliseconds = report.runningForMilliseconds ?: (wallClockMilliseconds() - report.startedAtMilliseconds)
        return milliseconds.milliseconds
    }

    /** Returns how far back this instance knows what the fleet charged, null for the whole window. */
    fun findCoverage(): Duration? {
        val now = clock.now()
        return quotas.values.minOfOrNull { it.coverage(now) }?.takeIf { it < quotaWindow() }
    }

    /** Returns what the fleet charged to the [count] organisations that used most. */
    fun createHistory(count: Int): ChargeHistoryReport {
        val now = clock.now()
        val units = quotas.mapValues { it.value.history(now) }.entries
            .sortedByDescending { it.value.sum() }
            .take(count)
            .associate { it.key to it.value }
        return ChargeHistoryReport((findCoverage() ?: quotaWindow()).inWholeMilliseconds, units)
    }

    /** Whether the history of this instance tells one that knows the charges for the time of [coverage] much more. */
    fun canInform(coverage: Duration): Boolean =
        quotas.isNotEmpty() && (findCoverage() ?: quotaWindow()) > coverage + SharedQuota.MINIMUM_HISTORY_GAIN

    /** Updates the list of the other instances. */
    fun updateMembers(others: Collection<InstanceId>) {
        val now = clock.now()
        quotas.values.forEach { it.updateMembers(others, now) }
    }

    /** Charges a request of [organisation] with [tokens], null when the request does not state them. */
    fun charge(organisation: OrganisationDefinition, tokens: Long?): QuotaDecision {
        val quota = quotas[organisation.id] ?: return QuotaDecision.Admitted
        return quota.charge(units(organisation, tokens), clock.now())
    }

    /** Refunds the charge for a request that was charged at [chargedAt] and did not run. */
    fun refund(organisation: OrganisationDefinition, tokens: Long?, chargedAt: MonotonicTime) {
        quotas[organisation.id]?.refund(units(organisation, tokens), chargedAt, clock.now())
    }

    /**
     * Returns the units charged so far, of at most [count] organisations, for the next report: first of those whose
     * units have changed most since they were reported, then of the others in turn. A receiver takes an organisation
     * that is never stated for one that was not charged, so [count] should be above the usual number of organisations.
     */
    fun nextCharges(count: Int): Map<OrganisationId, Long> {
        val now = clock.now()
        val (changed, unchanged) = quotas.filterValues { it.chargedUnits > 0 }.entries
            .partition { it.value.unreportedUnits > 0 }
        val mostChanged = changed.sortedByDescending { it.value.unreportedUnits }.take(count)
        val others = unchanged.sortedBy { it.key.value }
        val repeated = List(minOf(count - mostChanged.size, others.size)) { others[(nextRepeated + it) % others.size] }
        nextRepeated += repeated.size
        return (mostChanged + repeated).associate { it.key to it.value.reportChargedUnits(now) }
    }

    private fun quotaWindow() = window() ?: Duration.ZERO

    private fun units(organisation: OrganisationDefinition, tokens: Long?): Long = when (val unit = organisation.unit) {
        QuotaUnit.Requests -> 1
        is QuotaUnit.Tokens -> tokens ?: unit.defaultTokens
    }

    private companion object {
        /** Covers several exchanges in a small fleet; shorter gaps are common when messages are lost. */
        val MINIMUM_REPORT_LIFETIME = 1500.milliseconds
    }
}
