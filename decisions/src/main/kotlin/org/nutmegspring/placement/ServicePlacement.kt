package org.nutmegspring.placement

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.random.Random

/**
 * What an instance believes of one endpoint of a plain service.
 *
 * @property requests requests at the endpoint, of all instances
 * @property slots the most requests that it runs at once
 * @property slowdown how many times slower than usual it answered lately
 */
data class ServiceCandidate(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    val requests: Int,
    val slots: Int,
    val slowdown: Double = 1.0,
)

/**
 * Chooses endpoints of plain services: the one with the least work for its slots.
 *
 * Load pattern: bursts at few slots, seen by several instances that do not see each other's last choices. Equal
 * endpoints are chosen from at random, so that the instances do not all take the same.
 */
class ServicePlacement(private val random: Random) {
    /** Returns the endpoint for a request from [from], or null when there is none. */
    fun choose(candidates: List<ServiceCandidate>, from: DataCentreId): EndpointId? =
        candidates.minByOrNull { candidate ->
            val distance = if (candidate.dataCentre == from) 0.0 else OTHER_DATA_CENTRE_COST
            val filled = (candidate.requests + 1.0) / maxOf(1, candidate.slots)
            filled * candidate.slowdown + distance + random.nextDouble() * RANDOM_COST
        }?.id

    private companion object {
        /** Below the cost of one request at an endpoint of six slots. */
        const val OTHER_DATA_CENTRE_COST = 0.05
        const val RANDOM_COST = 0.05
    }
}
