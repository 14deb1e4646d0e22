package org.nutmegspring.fairness

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import java.util.TreeMap

/**
 * A value that waits in a [FairQueue].
 *
 * @property cost the work that it stands for, for example in tokens
 * @property deadline the time from which [FairQueue.expire] removes it
 */
class QueuedItem<T> internal constructor(
    val organisation: OrganisationId,
    val cost: Long,
    val deadline: MonotonicTime,
    val value: T,
    internal val number: Long,
)

/** The waiting items of one organisation, by their numbers. [start] is its virtual start time. */
internal class Backlog<T>(val organisation: OrganisationId, var weight: Int, var start: Double) {
    val items = TreeMap<Long, QueuedItem<T>>()
    private var cost = 0L

    val costPerWeight: Double get() = cost.toDouble() / weight

    fun add(item: QueuedItem<T>) {
        items[item.number] = item
        cost += item.cost
    }

    fun drop(item: QueuedItem<T>) {
        if (items.remove(item.number) != null) cost -= item.cost
    }
}

/** The virtual time, and the virtual finish times of the organisations without waiting items that are ahead of it. */
internal class FinishTimes {
    private val finishes = HashMap<OrganisationId, Double>()
    private var virtualTime = 0.0
    private var greatestFinish = 0.0

    /** Returns the virtual time at which [organisation] starts when it sends again. */
    fun startOf(organisation: OrganisationId): Double = maxOf(virtualTime, finishes.remove(organisation) ?: 0.0)

    /** Tells that an item with the virtual start time [start] was taken. */
    fun served(start: Double) {
        virtualTime = maxOf(virtualTime, start)
        if (finishes.size > MAXIMUM_FINISHES) finishes.values.removeIf { it <= virtualTime }
    }

    /** Tells that the last waiting item of [organisation] left, whose next virtual start time is [finish]. */
    fun finished(organisation: OrganisationId, finish: Double) {
        greatestFinish = maxOf(greatestFinish, finish)
        if (finish > virtualTime) finishes[organisation] = finish
    }

    /** Tells that no item waits any more. */
    fun idle() {
        virtualTime = maxOf(virtualTime, greatestFinish)
        finishes.clear()
    }

    private companion object {
        const val MAXIMUM_FINISHES = 1_000
    }
}
