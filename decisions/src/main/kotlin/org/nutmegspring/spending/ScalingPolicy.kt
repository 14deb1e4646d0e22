package org.nutmegspring.spending

import kotlin.time.Duration

/**
 * How many endpoints of a service the operators allow the system to order, and what they cost.
 *
 * @property minEndpoints the minimum in a data centre, of both kinds together
 * @property maxEndpoints the maximum in a data centre, of both kinds together
 * @property startUpTime the time from an order until the endpoint serves requests
 * @property interruptiblePriceRatio the price of an interruptible endpoint, which the platform may take away at short
 * notice, as a share of the price of a steady one; null when there are none
 */
data class ScalingPolicy(
    val minEndpoints: Int,
    val maxEndpoints: Int,
    val startUpTime: Duration,
    val interruptiblePriceRatio: Double?,
)

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
