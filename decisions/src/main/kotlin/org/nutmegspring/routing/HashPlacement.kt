package org.nutmegspring.routing

/**
 * Assigns pieces to engines by hash: each piece to one of a fixed number of bins, and each bin to a primary and a
 * secondary engine by rendezvous hashing.
 *
 * Adding or removing an engine reassigns only the bins that the engine gains or loses.
 */
internal class HashPlacement {
    private val keysBySlot = HashMap<Int, Long>()
    private val primary = IntArray(BINS) { NONE }
    private val secondary = IntArray(BINS) { NONE }

    /**
     * Adds the engine in [slot]. [key] is a hash of the engine id, so that all instances compute the same assignment.
     */
    fun add(slot: Int, key: Long) {
        keysBySlot[slot] = key
        for (bin in 0 until BINS) insertCandidate(bin, slot)
    }

    /** Removes the engine in [slot]. */
    fun remove(slot: Int) {
        keysBySlot.remove(slot) ?: return
        for (bin in 0 until BINS) {
            if (primary[bin] == slot || secondary[bin] == slot) reassign(bin)
        }
    }

    /** Returns the slot of the primary engine of [piece], or [NONE]. */
    fun findPrimary(piece: Long): Int = primary[binOf(piece)]

    /** Returns the slot of the secondary engine of [piece], or [NONE]. */
    fun findSecondary(piece: Long): Int = secondary[binOf(piece)]

    private fun binOf(piece: Long): Int = (mix(piece) ushr BIN_SHIFT).toInt()

    private fun reassign(bin: Int) {
        primary[bin] = NONE
        secondary[bin] = NONE
        keysBySlot.keys.forEach { insertCandidate(bin, it) }
    }

    private fun insertCandidate(bin: Int, slot: Int) {
        val weight = computeWeight(bin, slot)
        when {
            primary[bin] == NONE || weight > computeWeight(bin, primary[bin]) -> {
                secondary[bin] = primary[bin]
                primary[bin] = slot
            }

            secondary[bin] == NONE || weight > computeWeight(bin, secondary[bin]) -> {
                secondary[bin] = slot
            }
        }
    }

    private fun computeWeight(bin: Int, slot: Int): Long = mix(keysBySlot.getValue(slot) + bin * BIN_FACTOR)

    companion object {
        /** The slot value that stands for no engine. */
        const val NONE = -1

        private const val BINS = 4_096
        private const val BIN_SHIFT = 52
        private const val BIN_FACTOR = -7_046_029_254_386_353_131L
        private const val FIRST_FACTOR = -4_658_895_280_553_007_687L
        private const val SECOND_FACTOR = -7_723_592_293_110_705_685L
        private const val FIRST_SHIFT = 30
        private const val SECOND_SHIFT = 27
        private const val THIRD_SHIFT = 31

        /** Returns a well-distributed hash of [value], computed by the finalizer of SplitMix64. */
        fun mix(value: Long): Long {
            val firstRound = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
            val secondRound = (firstRound xor (firstRound ushr SECOND_SHIFT)) * SECOND_FACTOR
            return secondRound xor (secondRound ushr THIRD_SHIFT)
        }
    }
}
