package org.nutmegspring.gateway.forwarding

import org.nutmegspring.currency.FreshnessEvidence
import org.nutmegspring.gateway.configuration.OrganisationDefinition
import org.nutmegspring.gateway.configuration.QuotaUnit
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.quota.PeerCharges
import org.nutmegspring.quota.QuotaDecision
import org.nutmegspring.quota.SharedQuota
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The configuration in force at this instance. It never reverts to an older version. */
class CurrentConfiguration(private val log: DecisionLog) {
    /** The configuration, or null before the first. */
    var configuration: ServingConfiguration? = null
        private set

    /** The evidence that it is the newest. */
    val evidence = FreshnessEvidence()

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
}

/** The quotas of all organisations at this instance. */
class QuotaTable(
    private val clock: MonotonicClock,
    private val wallClockMilliseconds: () -> Long = System::currentTimeMillis,
    private val window: () -> Duration,
) {
    private val quotas = HashMap<OrganisationId, SharedQuota>()
    private var nextRepeated = 0

    /** Updates the quota rates from [configuration]. */
    fun configure(configuration: ServingConfiguration) {
        val now = clock.now()
        for (organisation in configuration.organisations) {
            val rate = organisation.quota
            val known = quotas[organisation.id]
            when {
                rate == null -> quotas.remove(organisation.id)
                known == null -> quotas[organisation.id] = SharedQuota(rate, window(), now)
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
                runningFor = (wallClockMilliseconds() - report.startedAtMilliseconds).milliseconds,
                reportInterval = report.intervalMilliseconds.milliseconds,
                expiresAt = now + report.lifetime(MINIMUM_REPORT_LIFETIME),
            )
            quota.recordPeerCharges(charges, now)
        }
    }

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

    private fun units(organisation: OrganisationDefinition, tokens: Long?): Long = when (val unit = organisation.unit) {
        QuotaUnit.Requests -> 1
        is QuotaUnit.Tokens -> tokens ?: unit.defaultTokens
    }

    private companion object {
        /** Covers several exchanges in a small fleet; shorter gaps are common when messages are lost. */
        val MINIMUM_REPORT_LIFETIME = 1500.milliseconds
    }
}
