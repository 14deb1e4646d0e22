package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import kotlin.time.Duration

/**
 * How many endpoints of a service the operators allow the system to order, and what they cost.
 *
 * @property minEndpoints the minimum in a data centre, of both kinds together
 * @property maxEndpoints the maximum in a data centre, of both kinds together
 * @property startUpTime the time from an order until the endpoint serves requests
 * @property interruptiblePriceRatio the price of an interruptible endpoint, which the platform may take away at short
 * notice, as a share of the price of a steady one; null when there are none
 * @property prices the price of an endpoint second by data centre, relative to each other; empty when none are stated
 */
data class ScalingPolicy(
    val minEndpoints: Int,
    val maxEndpoints: Int,
    val startUpTime: Duration,
    val interruptiblePriceRatio: Double?,
    val prices: Map<DataCentreId, Double> = emptyMap(),
) {
    /** Whether the numbers may follow the demand; otherwise the whole range is ordered. */
    val isSizedByDemand: Boolean get() = prices.isNotEmpty()

    /** Returns the price of an endpoint second in [dataCentre]; one that is not listed costs the mean. */
    fun findPrice(dataCentre: DataCentreId): Double =
        prices[dataCentre] ?: if (prices.isEmpty()) 1.0 else prices.values.average()
}

/**
 * Numbers of endpoints of one service in one data centre.
 *
 * @property steady endpoints that the platform does not take away
 * @property interruptible endpoints that the platform may take away at short notice
 */
data class EndpointCounts(
    val steady: Int,
    val interruptible: Int,
)
