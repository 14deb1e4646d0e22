package org.nutmegspring.gateway.endpoints

import org.nutmegspring.currency.FreshnessEvidence
import org.nutmegspring.time.AgeClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells whether this instance has missed departures of endpoints that the store has accepted.
 *
 * The age of the list alone does not tell: during an outage of the store the endpoints stay in use. The list is behind
 * when calls for its changes failed while the store answered calls for configurations that began later.
 *
 * @param configuration the answered calls for configurations
 * @param departureTime returns how long an endpoint may still get requests after its departure was accepted
 */
class EndpointListCurrency(
    private val endpoints: EndpointTable,
    private val configuration: FreshnessEvidence,
    private val departureTime: () -> Duration,
) {
    /** Whether the list is behind by [ages], so that requests may reach endpoints that have left. */
    fun isBehind(ages: AgeClock): Boolean {
        if (!endpoints.isFeedLost) return false
        val age = endpoints.evidence.age(ages) ?: return true
        val configurationAge = configuration.age(ages) ?: return false
        return age > departureTime() * DISPATCH_SHARE && age - configurationAge > MAXIMUM_LAG
    }

    /** Whether the list is recent enough by [ages] for an instance that starts to serve. */
    fun isRecent(ages: AgeClock): Boolean = endpoints.evidence.isYoungerThan(departureTime(), ages)

    private companion object {
        /** The rest of the time is for requests that were admitted before. */
        const val DISPATCH_SHARE = 0.8

        /** Longer than either feed waits for changes in one call, so that feeds that follow do not differ by more. */
        val MAXIMUM_LAG = 1500.milliseconds
    }
}
