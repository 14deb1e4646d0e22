package org.nutmegspring.routing

/**
 * Tracks which engines are believed to have which prompt pieces cached.
 *
 * The index keeps the [capacity] most recently used pieces, each with a bit set of engine slots. An entry that is wrong
 * costs one prefill at the engine to which the request was routed; that prefill makes the entry correct.
 */
class CacheIndex(private val capacity: Int) {
    private val holders = object : LinkedHashMap<Long, LongArray>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, LongArray>): Boolean = size > capacity
    }

    /** The number of indexed pieces. */
    val size: Int get() = holders.size

    /** Records whether the engine in [slot] has [piece] cached. */
    fun record(piece: Long, slot: Int, present: Boolean) {
        val word = slot / Long.SIZE_BITS
        val existing = holders[piece]
        if (existing == null && !present) return
        val bits = when {
            existing == null -> LongArray(word + 1)
            word >= existing.size -> existing.copyOf(word + 1)
            else -> existing
        }
        val mask = 1L shl (slot % Long.SIZE_BITS)
        bits[word] = if (present) bits[word] or mask else bits[word] and mask.inv()
        if (bits !== existing) holders[piece] = bits
    }

    /** Removes the engine in [slot] from all pieces. */
    fun clearSlot(slot: Int) {
        val word = slot / Long.SIZE_BITS
        val mask = (1L shl (slot % Long.SIZE_BITS)).inv()
        holders.values.forEach { if (word < it.size) it[word] = it[word] and mask }
    }

    /** Returns the bit set of the slots that have [piece], or null if it is not indexed. Callers must not modify it. */
    internal fun findHolders(piece: Long): LongArray? = holders[piece]

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}

/** Returns whether the bit of [slot] is set in this bit set. */
internal fun LongArray.hasSlot(slot: Int): Boolean {
    val word = slot / Long.SIZE_BITS
    return word < size && (this[word] ushr (slot % Long.SIZE_BITS)) and 1L != 0L
}
