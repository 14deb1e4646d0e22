package org.nutmegspring.fairness

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import java.util.TreeSet

/** Returns an empty queue for at most [capacity] items. */
fun <T> fairQueue(capacity: Int): FairQueue<T> {
    require(capacity > 0) { "capacity $capacity is not positive" }
    return FairQueue(capacity)
}

/** The outcome of [FairQueue.offer]. */
sealed interface Offer<T> {
    /** The value waits as [item]. */
    data class Queued<T>(val item: QueuedItem<T>) : Offer<T>

    /** The value waits as [item]. For it, [displaced] left the queue and must be refused. */
    data class QueuedInPlaceOf<T>(val item: QueuedItem<T>, val displaced: QueuedItem<T>) : Offer<T>

    /** The queue is full, and the organisation has the greatest backlog for its weight. */
    class Full<T> : Offer<T>
}

/**
 * A queue that shares the work taken from it among organisations in proportion to their weights.
 *
 * It is start-time fair queueing: each organisation has a virtual start time, which advances by cost over weight
 * with each item taken, and the organisation with the least start time is served next. An organisation that was idle
 * starts at the current virtual time, so idleness earns no credit. Items of one organisation leave in the order of
 * their arrival. Items that are removed or pass their deadline cost their organisation nothing.
 *
 * A full queue makes room by giving up the newest item of the organisation with the greatest backlog for its weight,
 * so an organisation that sends more than its share displaces only its own items.
 *
 * The class is not safe for concurrent use. [offer], [poll] and [remove] take logarithmic time.
 */
class FairQueue<T> internal constructor(private val capacity: Int) {
    private val backlogs = HashMap<OrganisationId, Backlog<T>>()
    private val byStart = TreeSet(compareBy<Backlog<T>> { it.start }.thenBy { it.organisation.value })
    private val byLength = TreeSet(compareBy<Backlog<T>> { it.costPerWeight }.thenBy { it.organisation.value })
    private val byDeadline = TreeSet(compareBy<QueuedItem<T>> { it.deadline }.thenBy { it.number })
    private val finishTimes = FinishTimes()
    private var nextNumber = 0L

    /** How many items wait. */
    val size: Int get() = byDeadline.size

    /** Adds [value] for [organisation], which has [weight]. */
    fun offer(organisation: OrganisationId, weight: Int, cost: Long, deadline: MonotonicTime, value: T): Offer<T> {
        require(weight > 0) { "weight $weight of organisation $organisation is not positive" }
        require(cost > 0) { "cost $cost of organisation $organisation is not positive" }
        val item = QueuedItem(organisation, cost, deadline, value, nextNumber++)
        add(item, weight)
        if (size <= capacity) return Offer.Queued(item)
        val displaced = byLength.last().items.lastEntry().value
        remove(displaced)
        return if (displaced === item) Offer.Full() else Offer.QueuedInPlaceOf(item, displaced)
    }

    /** Removes and returns the items whose deadline is not later than [now]. */
    fun expire(now: MonotonicTime): List<QueuedItem<T>> {
        val expired = byDeadline.takeWhile { it.deadline <= now }
        expired.forEach { remove(it) }
        return expired
    }

    /** Returns the item that [poll] would take, or null when none waits. */
    fun peek(): QueuedItem<T>? = byStart.firstOrNull()?.items?.firstEntry()?.value

    /** Takes the next item, or returns null when none waits. Call [expire] before to leave out items that are late. */
    fun poll(): QueuedItem<T>? {
        val backlog = byStart.firstOrNull() ?: return null
        val item = backlog.items.firstEntry().value
        finishTimes.served(backlog.start)
        change(backlog) {
            it.drop(item)
            it.start += item.cost.toDouble() / it.weight
        }
        byDeadline.remove(item)
        if (byStart.isEmpty()) finishTimes.idle()
        return item
    }

    /** Removes [item] and returns true, or returns false when it no longer waits. */
    fun remove(item: QueuedItem<T>): Boolean {
        if (!byDeadline.remove(item)) return false
        change(backlogs.getValue(item.organisation)) { it.drop(item) }
        return true
    }

    private fun add(item: QueuedItem<T>, weight: Int) {
        val backlog = backlogs.getOrPut(item.organisation) {
            Backlog(item.organisation, weight, finishTimes.startOf(item.organisation))
        }
        change(backlog) {
            it.weight = weight
            it.add(item)
        }
        byDeadline.add(item)
    }

    private fun change(backlog: Backlog<T>, edit: (Backlog<T>) -> Unit) {
        byStart.remove(backlog)
        byLength.remove(backlog)
        edit(backlog)
        if (backlog.items.isEmpty()) {
            backlogs.remove(backlog.organisation)
            finishTimes.finished(backlog.organisation, backlog.start)
        } else {
            byStart.add(backlog)
            byLength.add(backlog)
        }
    }
}
