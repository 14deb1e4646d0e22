package org.nutmegspring.limits

/** A position in the history of a bucket. */
@JvmInline
value class HistoryMark(val position: Long)

/**
 * Remembers the greatest fill of a bucket since any recent position in its history.
 *
 * It is a monotonic stack: an entry holds the greatest fill between its predecessor's position and its own, and
 * entries that a later one reaches are dropped. When the stack is full, pairs of the older entries are merged, which
 * can only raise an answer.
 */
internal class FillPeaks {
    private val entries = ArrayList<Peak>()
    private var position = 0L
    private var floor = 0L

    /** Records [fill], from which the bucket is about to drop, and returns the position after it. */
    fun record(fill: Double): HistoryMark {
        position++
        while (entries.isNotEmpty() && entries.last().fill <= fill) entries.removeLast()
        entries.add(Peak(position, fill))
        if (entries.size > MAXIMUM_ENTRIES) merge()
        return HistoryMark(position)
    }

    /** Returns the greatest fill recorded after [mark], or infinity when it is no longer known. */
    fun since(mark: HistoryMark): Double {
        if (mark.position < floor) return Double.POSITIVE_INFINITY
        return entries.find { it.position > mark.position }?.fill ?: 0.0
    }

    /** Adds [amount] to every fill recorded after [mark]. */
    fun raise(mark: HistoryMark, amount: Double) {
        val first = entries.indexOfFirst { it.position > mark.position }
        if (first < 0) return
        for (index in first until entries.size) entries[index].fill += amount
        val raised = entries[first].fill
        entries.subList(0, first).removeIf { it.fill <= raised }
    }

    /** Forgets the history, so that [since] answers infinity for every earlier mark. */
    fun forget() {
        entries.clear()
        floor = ++position
    }

    private fun merge() {
        val older = entries.subList(0, MAXIMUM_ENTRIES / 2)
        val merged = older.chunked(2) { (first, second) -> Peak(second.position, first.fill) }
        older.clear()
        entries.addAll(0, merged)
    }

    private class Peak(val position: Long, var fill: Double)

    private companion object {
        const val MAXIMUM_ENTRIES = 256
    }
}
