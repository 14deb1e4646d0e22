package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An order for [count] endpoints of one kind in a data centre. */
data class CountOrder(
    val dataCentre: DataCentreId,
    val isInterruptible: Boolean,
    val count: Int,
)

/**
 * Plans the orders that bring the running endpoints of one service to their targets, and records the orders sent.
 *
 * The maximum per data centre covers steady and interruptible endpoints together, so steady ones are replaced step by
 * step: they are released once interruptible ones fill the free capacity. While endpoints are replaced one by one, a
 * number that was ordered before is not ordered again; it is repeated when endpoints are missing for long. While the
 * service is idle, releases interrupt no work, and all orders are sent at once. Where the platform took interruptible
 * endpoints away and refuses new ones, steady endpoints substitute for a part of them.
 *
 * @param maxEndpoints the maximum number of endpoints in a data centre
 * @param startUpTime the time from an order until the endpoint serves requests
 */
class FleetOrderPlanner(private val maxEndpoints: Int, private val startUpTime: Duration) {
    private class SentOrder(val count: Int, val isAccepted: Boolean, val at: MonotonicTime)

    private val repeatInterval = startUpTime * REPEAT_START_UP_FACTOR + REPEAT_MARGIN
    private var firstSentAt: MonotonicTime? = null
    private val sentOrders = HashMap<Pair<DataCentreId, Boolean>, SentOrder>()
    private val excessSince = HashMap<DataCentreId, MonotonicTime>()

    /**
     * Returns the orders to send at [now]. [isIdle] tells that the endpoints have had no work for a while. No steady
     * endpoints substitute in [replacedElsewhere], since other data centres run more endpoints instead.
     */
    fun planOrders(
        targets: Map<DataCentreId, EndpointCounts>,
        running: Map<DataCentreId, EndpointCounts>,
        isIdle: Boolean,
        now: MonotonicTime,
        replacedElsewhere: Set<DataCentreId> = emptySet(),
    ): List<CountOrder> = targets.flatMap { (dataCentre, target) ->
        val here = running[dataCentre] ?: EndpointCounts(0, 0)
        val substitutes = if (dataCentre in replacedElsewhere) 0 else countSubstitutes(dataCentre, target, here)
        planOrdersFor(dataCentre, target, target.steady + substitutes, here, isIdle, now)
    }

    private fun planOrdersFor(
        dataCentre: DataCentreId,
        target: EndpointCounts,
        steady: Int,
        running: EndpointCounts,
        isIdle: Boolean,
        now: MonotonicTime,
    ): List<CountOrder> {
        if (running.steady > steady) excessSince.getOrPut(dataCentre) { now } else excessSince.remove(dataCentre)
        val free = maxEndpoints - (if (isIdle) target.steady else maxOf(target.steady, running.steady))
        val interruptible = minOf(target.interruptible, maxOf(free, running.interruptible))
        val isReplaced =
            interruptible > 0 && running.interruptible >= interruptible && isLastingExcess(dataCentre, now)
        val steadyOrder = CountOrder(dataCentre, false, steady)
        val interruptibleOrder = CountOrder(dataCentre, true, interruptible)
        // The steady order comes first, since its releases free capacity for the interruptible one at once.
        return listOfNotNull(
            steadyOrder.takeIf { isFirstOrder(it, isIdle) || isDue(it, running.steady, isIdle || isReplaced, now) },
            interruptibleOrder.takeIf { isDue(it, running.interruptible, canRelease = true, now) },
        )
    }

    /** Returns how many steady endpoints substitute for interruptible ones that the platform refused. */
    private fun countSubstitutes(dataCentre: DataCentreId, target: EndpointCounts, running: EndpointCounts): Int {
        val isRefused = sentOrders[dataCentre to true]?.let { !it.isAccepted } ?: false
        val missing = (target.interruptible - running.interruptible).coerceAtLeast(0)
        return if (isRefused) (missing * SUBSTITUTE_SHARE).toInt() else 0
    }

    /**
     * Whether the first orders are still being carried out: they were sent, [running] differs from [targets], and the
     * time limit for the initial growth has not passed.
     */
    fun isGrowing(
        targets: Map<DataCentreId, EndpointCounts>,
        running: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
    ): Boolean {
        val startedAt = firstSentAt ?: return false
        return targets != running && now - startedAt < startUpTime * GROWTH_START_UP_FACTOR + GROWTH_MARGIN
    }

    /** Records that [order] was sent at [now], and whether the platform accepted it. */
    fun recordSent(order: CountOrder, isAccepted: Boolean, now: MonotonicTime) {
        if (firstSentAt == null) firstSentAt = now
        sentOrders[order.dataCentre to order.isInterruptible] = SentOrder(order.count, isAccepted, now)
    }

    /**
     * Whether [order] is the first of its kind in an idle service. It is sent even if its number seems to run already:
     * at the start some running endpoints are not listed yet, and would use the capacity for those that are ordered.
     */
    private fun isFirstOrder(order: CountOrder, isIdle: Boolean) =
        isIdle && sentOrders[order.dataCentre to order.isInterruptible] == null

    private fun isDue(order: CountOrder, running: Int, canRelease: Boolean, now: MonotonicTime): Boolean {
        if (running == order.count) return false
        val last = sentOrders[order.dataCentre to order.isInterruptible]
        if (last == null || last.count != order.count) {
            return running < order.count || canRelease
        }
        val pause = if (last.isAccepted) repeatInterval else REFUSED_RETRY_INTERVAL
        return (running < order.count || !last.isAccepted) && now - last.at >= pause
    }

    /** Whether [dataCentre] has run more steady endpoints than wanted for longer than a replacement takes. */
    private fun isLastingExcess(dataCentre: DataCentreId, now: MonotonicTime): Boolean =
        excessSince[dataCentre]?.let { now - it >= REPLACEMENT_TIME } ?: false

    private companion object {
        /** The share of the missing endpoints for which steady ones are ordered. Each costs several times as much. */
        const val SUBSTITUTE_SHARE = 0.5

        /** When an endpoint is replaced, the old one leaves about a second after the new one has started. */
        val REPLACEMENT_TIME = 1500.milliseconds

        /** An endpoint that does not serve after this many start-up times will not appear without another order. */
        const val REPEAT_START_UP_FACTOR = 2
        val REPEAT_MARGIN = 2.seconds

        /** Interruptible endpoints mostly become available again within seconds, and an order costs little. */
        val REFUSED_RETRY_INTERVAL = 2.seconds

        /** Where steady endpoints are replaced, the remaining interruptible ones start only after the first have. */
        const val GROWTH_START_UP_FACTOR = 2
        val GROWTH_MARGIN = 3.seconds
    }
}
