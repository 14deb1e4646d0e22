package org.nutmegspring.spending

import kotlin.time.Duration

/**
 * How many endpoints of a service the operators let the system order, and what they cost.
 *
 * @property least the fewest in a data centre, of both kinds together
 * @property most the most in a data centre, of both kinds together
 * @property startUp the time from an order until the endpoint serves
 * @property interruptiblePrice the price of an endpoint that may be taken away at short notice, as a part of the price
 * of another; null when there are none
 */
data class ScalingTerms(
    val least: Int,
    val most: Int,
    val startUp: Duration,
    val interruptiblePrice: Double?,
)

/** Endpoints of one service in one data centre, by kind. */
data class EndpointCounts(
    val steady: Int,
    val interruptible: Int,
)
