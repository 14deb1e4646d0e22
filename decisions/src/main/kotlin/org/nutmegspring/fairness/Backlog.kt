package org.nutmegspring.fairness

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import java.util.TreeMap

/**
 * A value queued in a [FairQueue].
 *
 * @property cost the amount of work it represents, for example in tokens
 * @property deadline the time from which [FairQueue.expire] removes it
 * @property number the position in the order of arrival
 */
class QueuedItem<T> internal constructor(
    val organisation: OrganisationId,
    val cost: Long,
    val deadline: MonotonicTime,
    val value: T,
    internal val number: Long,
)

/** The queued items of one organisation, by number. [virtualStart] is the virtual start time of the first. */
internal class Backlog<T>(val organisation: OrganisationId, var weight: Int, var virtualStart: Double) {
    val items = TreeMap<Long, QueuedItem<T>>()
    private var cost = 0L

    val costPerWeight: Double get() = cost.toDouble() / weight

    fun add(item: QueuedItem<T>) {
        items[item.number] = item
        cost += item.cost
    }

    fun remove(item: QueuedItem<T>) {
        if (items.remove(item.number) != null) cost -= item.cost
    }
}

/** The virtual time, and the virtual finish times later than it of organisations without queued items. */
internal class FinishTimes {
    private val finishes = HashMap<OrganisationId, Double>()
    private var virtualTime = 0.0
    private var latestFinish = 0.0

    /** Removes the finish time of [organisation] and returns the virtual start time of its next item. */
    fun takeStart(organisation: OrganisationId): Double = maxOf(virtualTime, finishes.remove(organisation) ?: 0.0)

    /** Advances the virtual time to [start], the virtual start time of an item taken from the queue. */
    fun advanceTo(start: Double) {
        virtualTime = maxOf(virtualTime, start)
        if (finishes.size > MAXIMUM_FINISHES) finishes.values.removeIf { it <= virtualTime }
    }

    /** Records the virtual finish time [finish] of [organisation] after its last queued item has left. */
    fun recordFinish(organisation: OrganisationId, finish: Double) {
        latestFinish = maxOf(latestFinish, finish)
        if (finish > virtualTime) finishes[organisation] = finish
    }

    /** Advances the virtual time to the latest finish time and discards all of them. Called when the queue is empty. */
    fun advanceToLatestFinish() {
        virtualTime = maxOf(virtualTime, latestFinish)
        finishes.clear()
    }

    private companion object {
        const val MAXIMUM_FINISHES = 1_000
    }
}
