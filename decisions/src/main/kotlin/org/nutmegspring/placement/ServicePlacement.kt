package org.nutmegspring.placement

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.random.Random

/**
 * What an instance knows of one endpoint of a plain service.
 *
 * @property requests the requests in flight at the endpoint, from all instances
 * @property slots the maximum number of requests that it runs concurrently
 * @property slowdown the ratio of its recent to its expected response time
 */
data class ServiceCandidate(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    val requests: Int,
    val slots: Int,
    val slowdown: Double = 1.0,
)

/**
 * Chooses endpoints of plain services by the lowest slot utilization.
 *
 * Load pattern: bursts of requests at endpoints with few slots, placed by several instances that do not know each
 * other's most recent choices. Ties are broken at random, so that the instances do not all choose the same endpoint.
 */
class ServicePlacement(private val random: Random) {
    /** Returns the endpoint for a request received in data centre [from], or null when [candidates] is empty. */
    fun choose(candidates: List<ServiceCandidate>, from: DataCentreId): EndpointId? =
        candidates.minByOrNull { candidate ->
            val distance = if (candidate.dataCentre == from) 0.0 else CROSS_DATA_CENTRE_COST
            val utilization = (candidate.requests + 1.0) / maxOf(1, candidate.slots)
            utilization * candidate.slowdown + distance + random.nextDouble() * MAX_RANDOM_COST
        }?.id

    private companion object {
        /** Less than the cost of one request at an endpoint with six slots, which is 1/6. */
        const val CROSS_DATA_CENTRE_COST = 0.05
        const val MAX_RANDOM_COST = 0.05
    }
}
