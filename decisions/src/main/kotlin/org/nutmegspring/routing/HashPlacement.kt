package org.nutmegspring.routing

/**
 * Assigns pieces to engines by hash: a piece to one of a fixed number of bins, a bin to engines by rendezvous hashing.
 *
 * An added or removed engine moves only the bins that it gains or loses.
 */
internal class HashPlacement {
    private val members = HashMap<Int, Long>()
    private val first = IntArray(BINS) { NONE }
    private val second = IntArray(BINS) { NONE }

    /** Adds the engine in [slot]; [key] is a hash of its id, so that all instances assign alike. */
    fun add(slot: Int, key: Long) {
        members[slot] = key
        for (bin in 0 until BINS) offer(bin, slot)
    }

    /** Removes the engine in [slot]. */
    fun remove(slot: Int) {
        members.remove(slot) ?: return
        for (bin in 0 until BINS) {
            if (first[bin] == slot || second[bin] == slot) assign(bin)
        }
    }

    /** Returns the slot to which [piece] is assigned first, or [NONE]. */
    fun home(piece: Long): Int = first[bin(piece)]

    /** Returns the slot to which [piece] is assigned next, or [NONE]. */
    fun alternative(piece: Long): Int = second[bin(piece)]

    private fun bin(piece: Long): Int = (mix(piece) ushr BIN_SHIFT).toInt()

    private fun assign(bin: Int) {
        first[bin] = NONE
        second[bin] = NONE
        members.keys.forEach { offer(bin, it) }
    }

    private fun offer(bin: Int, slot: Int) {
        val weight = weight(bin, slot)
        when {
            first[bin] == NONE || weight > weight(bin, first[bin]) -> {
                second[bin] = first[bin]
                first[bin] = slot
            }

            second[bin] == NONE || weight > weight(bin, second[bin]) -> {
                second[bin] = slot
            }
        }
    }

    private fun weight(bin: Int, slot: Int): Long = mix(members.getValue(slot) + bin * BIN_FACTOR)

    companion object {
        /** Stands for no engine. */
        const val NONE = -1

        private const val BINS = 4_096
        private const val BIN_SHIFT = 52
        private const val BIN_FACTOR = -7_046_029_254_386_353_131L
        private const val FIRST_FACTOR = -4_658_895_280_553_007_687L
        private const val SECOND_FACTOR = -7_723_592_293_110_705_685L
        private const val FIRST_SHIFT = 30
        private const val SECOND_SHIFT = 27
        private const val THIRD_SHIFT = 31

        /** Returns a well-distributed hash of [value]. */
        fun mix(value: Long): Long {
            val once = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
            val twice = (once xor (once ushr SECOND_SHIFT)) * SECOND_FACTOR
            return twice xor (twice ushr THIRD_SHIFT)
        }
    }
}
