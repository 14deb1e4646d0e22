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
 * while endpoints are replaced one by one; one that is missed for long is. While the service is idle there is nothing
 * to lose, and the fleet takes its shape at once. Where interruptible endpoints were taken away and none are to be had,
 * steady ones stand in for a part of them.
 *
 * @param most the most endpoints in a data centre
 */
class FleetOrders(private val most: Int, private val startUp: Duration) {
    private class Sent(val count: Int, val isTaken: Boolean, val at: MonotonicTime)

    private val repeatAfter = startUp * REPEAT_START_UPS + REPEAT_MARGIN
    private var firstSentAt: MonotonicTime? = null
    private val sent = HashMap<Pair<DataCentreId, Boolean>, Sent>()
    private val excessSince = HashMap<DataCentreId, MonotonicTime>()

    /** Returns the orders that are due at [now]. [isIdle] tells that the endpoints have had no work for a while. */
    fun due(
        targets: Map<DataCentreId, EndpointCounts>,
        standing: Map<DataCentreId, EndpointCounts>,
        isIdle: Boolean,
        now: MonotonicTime,
    ): List<CountOrder> = targets.flatMap { (place, target) ->
        ordersFor(place, target, standing[place] ?: EndpointCounts(0, 0), isIdle, now)
    }

    private fun ordersFor(
        place: DataCentreId,
        target: EndpointCounts,
        here: EndpointCounts,
        isIdle: Boolean,
        now: MonotonicTime,
    ): List<CountOrder> {
        val steady = target.steady + standIns(place, target, here)
        if (here.steady > steady) excessSince.getOrPut(place) { now } else excessSince.remove(place)
        val free = most - (if (isIdle) target.steady else maxOf(target.steady, here.steady))
        val room = minOf(target.interruptible, maxOf(free, here.interruptible))
        val isReplaced = room > 0 && here.interruptible >= room && isLastingExcess(place, now)
        val steadyOrder = CountOrder(place, false, steady)
        val interruptibleOrder = CountOrder(place, true, room)
        // What is given back first makes room at once.
        return listOfNotNull(
            steadyOrder.takeIf { isFirst(it, isIdle) || isDue(it, here.steady, isIdle || isReplaced, now) },
            interruptibleOrder.takeIf { isDue(it, here.interruptible, mayGiveBack = true, now) },
        )
    }

    /** Steady endpoints in place of interruptible ones that the platform refused. */
    private fun standIns(place: DataCentreId, target: EndpointCounts, here: EndpointCounts): Int {
        val isRefused = sent[place to true]?.let { !it.isTaken } ?: false
        val missing = (target.interruptible - here.interruptible).coerceAtLeast(0)
        return if (isRefused) (missing * STAND_IN_SHARE).toInt() else 0
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

    /** At the start some endpoints that stand are not listed yet, and would take the room of those that are ordered. */
    private fun isFirst(order: CountOrder, isIdle: Boolean) =
        isIdle && sent[order.dataCentre to order.isInterruptible] == null

    private fun isDue(order: CountOrder, standing: Int, mayGiveBack: Boolean, now: MonotonicTime): Boolean {
        if (standing == order.count) return false
        val last = sent[order.dataCentre to order.isInterruptible]
        if (last == null || last.count != order.count) {
            return standing < order.count || mayGiveBack
        }
        val pause = if (last.isTaken) repeatAfter else REFUSED_PAUSE
        return (standing < order.count || !last.isTaken) && now - last.at >= pause
    }

    /** Whether more steady endpoints than are wanted have stood in [place] for a while. */
    private fun isLastingExcess(place: DataCentreId, now: MonotonicTime): Boolean =
        excessSince[place]?.let { now - it >= REPLACEMENT_TIME } ?: false

    private companion object {
        /** The part of the missing endpoints for which steady ones are ordered; each costs several times as much. */
        const val STAND_IN_SHARE = 0.5

        /** When an endpoint is replaced, the old one leaves about a second after the new one has come. */
        val REPLACEMENT_TIME = 1500.milliseconds

        /** An endpoint that does not serve after this many times its start-up will not come by itself. */
        const val REPEAT_START_UPS = 2
        val REPEAT_MARGIN = 2.seconds

        /** Where there are none at the moment, there mostly are some seconds later, and an order costs little. */
        val REFUSED_PAUSE = 2.seconds

        /** Where steady ones have to make room, the rest starts after the first have. */
        const val GROWTH_START_UPS = 2
        val GROWTH_MARGIN = 3.seconds
    }
}
