package org.nutmegspring.fairness

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import java.util.TreeSet

/** Creates an empty queue for at most [capacity] items. */
fun <T> fairQueue(capacity: Int): FairQueue<T> {
    require(capacity > 0) { "capacity $capacity is not positive" }
    return FairQueue(capacity)
}

/** The result of [FairQueue.offer]. */
sealed interface OfferResult<T> {
    /** The value is queued as [item]. */
    data class Queued<T>(val item: QueuedItem<T>) : OfferResult<T>

    /** The value is queued as [item]. To make room, [displaced] was removed from the queue and must be refused. */
    data class QueuedInPlaceOf<T>(val item: QueuedItem<T>, val displaced: QueuedItem<T>) : OfferResult<T>

    /** The value is not queued: the queue is full, and the organisation has the largest backlog per weight. */
    class Full<T> : OfferResult<T>
}

/**
 * A queue that shares the work taken from it among organisations in proportion to their weights.
 *
 * It implements start-time fair queueing: each organisation has a virtual start time, which advances by cost / weight
 * with each item taken, and the organisation with the earliest start time is served next. An organisation that was idle
 * starts at the current virtual time or later, so being idle earns no credit. Items of one organisation are served in
 * the order of their arrival. Items that are removed or expire cost their organisation nothing.
 *
 * A full queue makes room by removing the newest item of the organisation with the largest backlog per weight, so an
 * organisation that sends more than its share displaces only its own items.
 *
 * The class is not safe for concurrent use. [offer], [poll] and [remove] take time logarithmic in the queue size.
 */
class FairQueue<T> internal constructor(private val capacity: Int) {
    private val backlogs = HashMap<OrganisationId, Backlog<T>>()
    private val byVirtualStart = TreeSet(compareBy<Backlog<T>> { it.virtualStart }.thenBy { it.organisation.value })
    private val byBacklog = TreeSet(compareBy<Backlog<T>> { it.costPerWeight }.thenBy { it.organisation.value })
    private val byDeadline = TreeSet(compareBy<QueuedItem<T>> { it.deadline }.thenBy { it.number })
    private val finishTimes = FinishTimes()
    private var nextNumber = 0L

    /** The number of queued items. */
    val size: Int get() = byDeadline.size

    /** Queues [value] for [organisation], whose share is proportional to [weight]. */
    fun offer(
        organisation: OrganisationId,
        weight: Int,
        cost: Long,
        deadline: MonotonicTime,
        value: T,
    ): OfferResult<T> {
        require(weight > 0) { "weight $weight of organisation $organisation is not positive" }
        require(cost > 0) { "cost $cost of organisation $organisation is not positive" }
        val item = QueuedItem(organisation, cost, deadline, value, nextNumber++)
        add(item, weight)
        if (size <= capacity) return OfferResult.Queued(item)
        val displaced = byBacklog.last().items.lastEntry().value
        remove(displaced)
        return if (displaced === item) OfferResult.Full() else OfferResult.QueuedInPlaceOf(item, displaced)
    }

    /** Removes and returns the items whose deadline is at or before [now]. */
    fun expire(now: MonotonicTime): List<QueuedItem<T>> {
        val expired = byDeadline.takeWhile { it.deadline <= now }
        expired.forEach { remove(it) }
        return expired
    }

    /** Returns the item that [poll] would take, or null if the queue is empty. */
    fun peek(): QueuedItem<T>? = byVirtualStart.firstOrNull()?.items?.firstEntry()?.value

    /** Takes the next item, or returns null if the queue is empty. Call [expire] first to skip expired items. */
    fun poll(): QueuedItem<T>? {
        val backlog = byVirtualStart.firstOrNull() ?: return null
        val item = backlog.items.firstEntry().value
        finishTimes.advanceTo(backlog.virtualStart)
        update(backlog) {
            it.remove(item)
            it.virtualStart += item.cost.toDouble() / it.weight
        }
        byDeadline.remove(item)
        if (byVirtualStart.isEmpty()) finishTimes.advanceToLatestFinish()
        return item
    }

    /** Removes [item]. Returns false if it was no longer queued. */
    fun remove(item: QueuedItem<T>): Boolean {
        if (!byDeadline.remove(item)) return false
        update(backlogs.getValue(item.organisation)) { it.remove(item) }
        return true
    }

    private fun add(item: QueuedItem<T>, weight: Int) {
        val backlog = backlogs.getOrPut(item.organisation) {
            Backlog(item.organisation, weight, finishTimes.takeStart(item.organisation))
        }
        update(backlog) {
            it.weight = weight
            it.add(item)
        }
        byDeadline.add(item)
    }

    private fun update(backlog: Backlog<T>, action: (Backlog<T>) -> Unit) {
        byVirtualStart.remove(backlog)
        byBacklog.remove(backlog)
        action(backlog)
        if (backlog.items.isEmpty()) {
            backlogs.remove(backlog.organisation)
            finishTimes.recordFinish(backlog.organisation, backlog.virtualStart)
        } else {
            byVirtualStart.add(backlog)
            byBacklog.add(backlog)
        }
    }
}
