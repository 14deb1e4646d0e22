package org.nutmegspring.routing

import kotlin.random.Random

/** Collects a bounded number of candidate engines for a request. */
internal class CandidateSet(private val fleet: FleetView) {
    private val slots = IntArray(MAXIMUM_CANDIDATES)

    /** The number of candidates. */
    var size: Int = 0
        private set

    /**
     * Replaces the candidates by those for [demand]: engines that have its pieces cached, the engines to which its last
     * piece is assigned by hash, and [sampleSize] engines drawn at random. If none of these is eligible, the candidates
     * are all eligible engines, up to the maximum size of this set.
     */
    fun collect(demand: GenerationDemand, sampleSize: Int, random: Random, eligible: (EngineView) -> Boolean) {
        size = 0
        collectHolders(demand, random, eligible)
        demand.pieces.lastOrNull()?.let {
            addIfEligible(fleet.hashPlacement.findPrimary(it), eligible)
            addIfEligible(fleet.hashPlacement.findSecondary(it), eligible)
        }
        if (fleet.engines.isEmpty()) return
        repeat(sampleSize) { addIfEligible(fleet.engines[random.nextInt(fleet.engines.size)].slot, eligible) }
        if (size == 0) fleet.engines.forEach { if (eligible(it)) add(it.slot) }
    }

    /** Returns the candidate at [index]. */
    fun engineAt(index: Int): EngineView =
        checkNotNull(fleet.engineAtSlot(slots[index])) { "slot ${slots[index]} is empty" }

    private fun collectHolders(demand: GenerationDemand, random: Random, eligible: (EngineView) -> Boolean) {
        var triedLengths = 0
        for (index in demand.pieces.indices.reversed()) {
            val bits = fleet.cache.findHolders(demand.pieces[index]) ?: continue
            addHolders(bits, random.nextInt(bits.size), eligible)
            if (size >= MAXIMUM_HOLDERS || ++triedLengths >= MAXIMUM_PREFIX_LENGTHS) return
        }
    }

    private fun addHolders(bits: LongArray, start: Int, eligible: (EngineView) -> Boolean) {
        for (offset in bits.indices) {
            val word = (start + offset) % bits.size
            var remaining = bits[word]
            while (remaining != 0L) {
                if (size >= MAXIMUM_HOLDERS) return
                addIfEligible(word * Long.SIZE_BITS + remaining.countTrailingZeroBits(), eligible)
                remaining = remaining and (remaining - 1)
            }
        }
    }

    private fun addIfEligible(slot: Int, eligible: (EngineView) -> Boolean) {
        val engine = if (slot == HashPlacement.NONE) null else fleet.engineAtSlot(slot)
        if (engine != null && eligible(engine)) add(slot)
    }

    private fun add(slot: Int) {
        if (size == MAXIMUM_CANDIDATES) return
        for (index in 0 until size) if (slots[index] == slot) return
        slots[size++] = slot
    }

    private companion object {
        const val MAXIMUM_HOLDERS = 16
        const val MAXIMUM_CANDIDATES = 32
        const val MAXIMUM_PREFIX_LENGTHS = 8
    }
}

/** Returns the number of leading pieces of [demand] that the engine in [slot] is believed to have cached. */
internal fun CacheIndex.countLeadingPieces(demand: GenerationDemand, slot: Int): Int {
    for (index in demand.pieces.indices.reversed()) {
        if (findHolders(demand.pieces[index])?.hasSlot(slot) == true) return index + 1
    }
    return 0
}
