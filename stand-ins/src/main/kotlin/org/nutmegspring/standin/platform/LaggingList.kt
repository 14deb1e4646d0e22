package org.nutmegspring.standin.platform

import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** A map whose readers see it as it was some time ago. */
class LaggingList<K : Comparable<K>, V>(private val clock: MonotonicClock) {
    private val snapshots = ArrayDeque(listOf(Snapshot(clock.now(), sortedMapOf<K, V>())))

    /** Sets [key] to [value], or removes it when [value] is null. */
    @Synchronized
    fun set(key: K, value: V?) {
        val next = java.util.TreeMap(snapshots.last().entries)
        if (value == null) next.remove(key) else next[key] = value
        snapshots.addLast(Snapshot(clock.now(), next))
        if (snapshots.size > MAXIMUM_SNAPSHOTS) snapshots.removeFirst()
    }

    /** Returns the values as they were [lag] ago. */
    @Synchronized
    fun values(lag: Duration): List<V> {
        val seen = clock.now() - lag
        val snapshot = snapshots.lastOrNull { it.time <= seen } ?: snapshots.first()
        return snapshot.entries.values.toList()
    }

    private class Snapshot<K, V>(val time: MonotonicTime, val entries: Map<K, V>)

    private companion object {
        const val MAXIMUM_SNAPSHOTS = 1_000
    }
}
