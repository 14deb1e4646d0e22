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
 * Decides which orders lead one service from what stands to its targets, and remembers what was ordered.
 *
 * The most endpoints of a data centre count both kinds, so that steady ones make room step by step: those are given
 * back where as many interruptible ones serve as there was room for. A number that was ordered is not ordered again
 * while endpoints are replaced one by one; one that is missed for long is.
 *
 * @param most the most endpoints in a data centre
 */
class FleetOrders(private val most: Int, private val startUp: Duration) {
    private class Sent(val count: Int, val isTaken: Boolean, val at: MonotonicTime)

    private val repeatAfter = startUp * REPEAT_START_UPS + REPEAT_MARGIN
    private var firstSentAt: MonotonicTime? = null
    private val sent = HashMap<Pair<DataCentreId, Boolean>, Sent>()
    private val excessSince = HashMap<Pair<DataCentreId, Boolean>, MonotonicTime>()

    /** Returns the orders that are due at [now]. */
    fun due(
        targets: Map<DataCentreId, EndpointCounts>,
        standing: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
    ): List<CountOrder> {
        return targets.flatMap { (place, target) ->
            val here = standing[place] ?: EndpointCounts(0, 0)
            val free = most - maxOf(target.steady, here.steady)
            val room = minOf(target.interruptible, maxOf(free, here.interruptible))
            listOfNotNull(
                CountOrder(place, true, room).takeIf { isDue(it, here.interruptible, true, now) },
                CountOrder(place, false, target.steady)
                    .takeIf { isDue(it, here.steady, mayGiveBack = here.interruptible >= room && room > 0, now) },
            )
        }
    }

    /** Whether the first orders are still being carried out: they were sent, and [standing] differs from [targets]. */
    fun isGrowing(
        targets: Map<DataCentreId, EndpointCounts>,
        standing: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
    ): Boolean {
        val began = firstSentAt ?: return false
        return targets != standing && now - began < startUp * GROWTH_START_UPS + GROWTH_MARGIN
    }

    /** Records that [order] was sent at [now], and whether the platform took it. */
    fun sent(order: CountOrder, isTaken: Boolean, now: MonotonicTime) {
        if (firstSentAt == null) firstSentAt = now
        sent[order.dataCentre to order.isInterruptible] = Sent(order.count, isTaken, now)
    }

    private fun isDue(order: CountOrder, standing: Int, mayGiveBack: Boolean, now: MonotonicTime): Boolean {
        if (standing <= order.count) excessSince.remove(order.dataCentre to order.isInterruptible)
        if (standing == order.count) return false
        val last = sent[order.dataCentre to order.isInterruptible]
        if (last == null || last.count != order.count) {
            return standing < order.count || mayGiveBack && isLastingExcess(order, now)
        }
        val isMissed = standing < order.count || !last.isTaken
        return isMissed && now - last.at >= repeatAfter
    }

    /** Whether more than [order] asks for have stood for a while. */
    private fun isLastingExcess(order: CountOrder, now: MonotonicTime): Boolean =
        now - excessSince.getOrPut(order.dataCentre to order.isInterruptible) { now } >= REPLACEMENT_TIME

    private companion object {
        /** When an endpoint is replaced, the old one leaves about a second after the new one has come. */
        val REPLACEMENT_TIME = 1500.milliseconds

        /** An endpoint that does not serve after this many times its start-up will not come by itself. */
        const val REPEAT_START_UPS = 2
        val REPEAT_MARGIN = 2.seconds

        /** Where steady ones have to make room, the rest starts after the first have. */
        const val GROWTH_START_UPS = 2
        val GROWTH_MARGIN = 3.seconds
    }
}
