package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import kotlin.math.roundToInt

/**
 * Decides how many endpoints of a service stand in each data centre.
 *
 * Load pattern: rate and mix swing within seconds, while an endpoint that is ordered serves seconds later and knows no
 * prompt. What a swing needs has to stand before it. Interruptible endpoints cost a part of the others, so that more of
 * them can stand for less; a data centre can lose them all at once, which the endpoints of the other data centres bear.
 * The least number of steady ones stays everywhere.
 */
class FleetSizing(private val roomShare: Double = DEFAULT_ROOM_SHARE) {
    /** Returns the numbers for [dataCentres], or null when the operators' own numbers are to stay. */
    fun targets(terms: ScalingTerms, dataCentres: Set<DataCentreId>): Map<DataCentreId, EndpointCounts>? {
        val price = terms.interruptiblePrice ?: return null
        if (price >= GREATEST_PRICE || terms.most <= terms.least) return null
        val steady = maxOf(terms.least, 1)
        val interruptible = ((terms.most - steady) * roomShare).roundToInt()
        return dataCentres.associateWith { EndpointCounts(steady, interruptible) }
    }

    private companion object {
        /** The part of the room between the least and the most endpoints that is used. */
        const val DEFAULT_ROOM_SHARE = 1.0

        /** At a higher price, twice the endpoints cost as much as before. */
        const val GREATEST_PRICE = 0.5
    }
}
