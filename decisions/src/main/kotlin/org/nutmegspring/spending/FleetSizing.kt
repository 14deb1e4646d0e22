package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import kotlin.math.roundToInt

/**
 * Computes the target number of endpoints of a service in each data centre.
 *
 * Load pattern: the request rate and mix vary within seconds, while an ordered endpoint serves only seconds later and
 * starts with an empty prefix cache. The capacity for a peak therefore has to run before it. Interruptible endpoints
 * cost a fraction of steady ones, so that more of them run for less. A data centre can lose all of them at once; the
 * endpoints of the other data centres then take over the load. The minimum number of steady endpoints runs everywhere.
 */
class FleetSizing(private val rangeShare: Double = DEFAULT_RANGE_SHARE) {
    /** Returns the targets for [dataCentres], or null when the operators' own numbers apply. */
    fun computeTargets(policy: ScalingPolicy, dataCentres: Set<DataCentreId>): Map<DataCentreId, EndpointCounts>? {
        val priceRatio = policy.interruptiblePriceRatio ?: return null
        if (priceRatio >= MAX_PRICE_RATIO || policy.maxEndpoints <= policy.minEndpoints) return null
        val steady = maxOf(policy.minEndpoints, 1)
        val interruptible = ((policy.maxEndpoints - steady) * rangeShare).roundToInt()
        return dataCentres.associateWith { EndpointCounts(steady, interruptible) }
    }

    private companion object {
        /** The share of the range between the minimum and the maximum number of endpoints that is used. */
        const val DEFAULT_RANGE_SHARE = 1.0

        /** From this price ratio on, twice as many endpoints cost at least as much as the steady ones they replace. */
        const val MAX_PRICE_RATIO = 0.5
    }
}
