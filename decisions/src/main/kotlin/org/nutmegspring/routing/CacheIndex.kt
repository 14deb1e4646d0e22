package org.nutmegspring.routing

/**
 * Which engines are believed to have which pieces of prompts cached.
 *
 * The index keeps the [capacity] most recently used pieces with a bit for each engine. A wrong entry costs one prefill
 * at the engine to which it led, after which the entry is right.
 */
class CacheIndex(private val capacity: Int) {
    private val holders = object : LinkedHashMap<Long, LongArray>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, LongArray>): Boolean = size > capacity
    }

    /** How many pieces are known. */
    val size: Int get() = holders.size

    /** Records whether the engine in [slot] has [piece]. */
    fun record(piece: Long, slot: Int, present: Boolean) {
        val word = slot / Long.SIZE_BITS
        val known = holders[piece]
        if (known == null && !present) return
        val bits = when {
            known == null -> LongArray(word + 1)
            word >= known.size -> known.copyOf(word + 1)
            else -> known
        }
        val mask = 1L shl (slot % Long.SIZE_BITS)
        bits[word] = if (present) bits[word] or mask else bits[word] and mask.inv()
        if (bits !== known) holders[piece] = bits
    }

    /** Forgets everything about the engine in [slot]. */
    fun clear(slot: Int) {
        val word = slot / Long.SIZE_BITS
        val mask = (1L shl (slot % Long.SIZE_BITS)).inv()
        holders.values.forEach { if (word < it.size) it[word] = it[word] and mask }
    }

    /** Returns the bits of the engines that have [piece], or null when it is not known. Callers only read them. */
    internal fun holders(piece: Long): LongArray? = holders[piece]

    private companion object {
        const val INITIAL_SIZE = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}

/** Returns whether the bit of [slot] is set. */
internal fun LongArray.hasSlot(slot: Int): Boolean {
    val word = slot / Long.SIZE_BITS
    return word < size && (this[word] ushr (slot % Long.SIZE_BITS)) and 1L != 0L
}
