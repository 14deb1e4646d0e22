package org.nutmegspring.measure.engine

import org.nutmegspring.endpoint.CacheEvent

/** The prefix cache of an engine: the most recently used pieces up to [capacity]. */
class PrefixCache(private val capacity: Int) {
    private val pieces = LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)
    private val changes = ArrayList<CacheEvent>()

    /** Returns how many leading pieces of [prompt] are cached. */
    fun leading(prompt: LongArray): Int {
        var count = 0
        while (count < prompt.size && pieces[prompt[count]] != null) count++
        return count
    }

    /** Adds the pieces of [prompt] and removes those that were not used for longest. */
    fun add(prompt: LongArray) {
        for (piece in prompt) {
            if (pieces.put(piece, Unit) == null) changes.add(CacheEvent(piece, true))
        }
        val oldest = pieces.keys.iterator()
        var excess = pieces.size - capacity
        while (excess-- > 0) {
            changes.add(CacheEvent(oldest.next(), false))
            oldest.remove()
        }
    }

    /** Forgets all pieces, as after a restart. */
    fun clear() {
        pieces.keys.forEach { changes.add(CacheEvent(it, false)) }
        pieces.clear()
    }

    /** Returns the changes since the last call. */
    fun takeChanges(): List<CacheEvent> = changes.toList().also { changes.clear() }

    private companion object {
        const val INITIAL_SIZE = 256
        const val LOAD_FACTOR = 0.75f
    }
}
