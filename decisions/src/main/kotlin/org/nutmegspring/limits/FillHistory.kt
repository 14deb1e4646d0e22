package org.nutmegspring.limits

/** A position in the recorded fill history of a bucket. */
@JvmInline
value class HistoryMark(val position: Long)

/**
 * Tracks the maximum fill of a bucket since any recent position in its history.
 *
 * It is a monotonic stack: each entry holds the maximum fill between its predecessor's position and its own, and an
 * entry is dropped once a later fill is at least as high. When the stack is full, pairs of entries in its older half
 * are merged, which can only raise a reported maximum and thus errs on the safe side.
 */
internal class FillHistory {
    private val entries = ArrayList<Entry>()
    private var position = 0L
    private var oldestKnownPosition = 0L

    /** Records [fill] just before the bucket's fill decreases, and returns the position of the new entry. */
    fun record(fill: Double): HistoryMark {
        position++
        while (entries.isNotEmpty() && entries.last().fill <= fill) entries.removeLast()
        entries.add(Entry(position, fill))
        if (entries.size > MAXIMUM_ENTRIES) mergeOlderEntries()
        return HistoryMark(position)
    }

    /** Returns the maximum fill recorded after [mark], or infinity if the history no longer reaches back that far. */
    fun maximumSince(mark: HistoryMark): Double {
        if (mark.position < oldestKnownPosition) return Double.POSITIVE_INFINITY
        return entries.find { it.position > mark.position }?.fill ?: 0.0
    }

    /** Adds [amount] to every fill recorded after [mark] and restores the monotonic order of the stack. */
    fun raiseSince(mark: HistoryMark, amount: Double) {
        val first = entries.indexOfFirst { it.position > mark.position }
        if (first < 0) return
        for (index in first until entries.size) entries[index].fill += amount
        val raised = entries[first].fill
        entries.subList(0, first).removeIf { it.fill <= raised }
    }

    /** Discards the history, so that [maximumSince] returns infinity for every earlier mark. */
    fun clear() {
        entries.clear()
        oldestKnownPosition = ++position
    }

    private fun mergeOlderEntries() {
        val older = entries.subList(0, MAXIMUM_ENTRIES / 2)
        val merged = older.chunked(2) { (first, second) -> Entry(second.position, first.fill) }
        older.clear()
        entries.addAll(0, merged)
    }

    private class Entry(val position: Long, var fill: Double)

    private companion object {
        const val MAXIMUM_ENTRIES = 256
    }
}
