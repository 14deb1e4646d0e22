package org.nutmegspring.routing

import kotlin.random.Random

/** Collects a bounded number of engines with the number of leading pieces that each has cached. */
internal class CandidateSet(private val fleet: FleetView) {
    private val slots = IntArray(MAXIMUM_CANDIDATES)

    /** How many candidates there are. */
    var size: Int = 0
        private set

    /**
     * Collects the candidates for [demand] anew: holders of its pieces, the engines to which its last piece is assigned
     * by hash, and [sample] engines drawn at random. When none of these is eligible, all eligible engines are taken.
     */
    fun collect(demand: GenerationDemand, sample: Int, random: Random, eligible: (EngineView) -> Boolean) {
        size = 0
        collectHolders(demand, random, eligible)
        demand.pieces.lastOrNull()?.let {
            addIfEligible(fleet.placement.home(it), eligible)
            addIfEligible(fleet.placement.alternative(it), eligible)
        }
        if (fleet.engines.isEmpty()) return
        repeat(sample) { addIfEligible(fleet.engines[random.nextInt(fleet.engines.size)].slot, eligible) }
        if (size == 0) fleet.engines.forEach { if (eligible(it)) add(it.slot) }
    }

    /** Returns the candidate at [index]. */
    fun engine(index: Int): EngineView = checkNotNull(fleet.at(slots[index])) { "slot ${slots[index]} is empty" }

    private fun collectHolders(demand: GenerationDemand, random: Random, eligible: (EngineView) -> Boolean) {
        var looked = 0
        for (index in demand.pieces.indices.reversed()) {
            val bits = fleet.cache.holders(demand.pieces[index]) ?: continue
            addHolders(bits, random.nextInt(bits.size), eligible)
            if (size >= MAXIMUM_HOLDERS || ++looked >= MAXIMUM_LENGTHS) return
        }
    }

    private fun addHolders(bits: LongArray, start: Int, eligible: (EngineView) -> Boolean) {
        for (offset in bits.indices) {
            val word = (start + offset) % bits.size
            var rest = bits[word]
            while (rest != 0L) {
                if (size >= MAXIMUM_HOLDERS) return
                addIfEligible(word * Long.SIZE_BITS + rest.countTrailingZeroBits(), eligible)
                rest = rest and (rest - 1)
            }
        }
    }

    private fun addIfEligible(slot: Int, eligible: (EngineView) -> Boolean) {
        val engine = if (slot == HashPlacement.NONE) null else fleet.at(slot)
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
        const val MAXIMUM_LENGTHS = 8
    }
}

/** Returns how many leading pieces of [demand] the engine in [slot] is believed to have. */
internal fun CacheIndex.leadingPieces(demand: GenerationDemand, slot: Int): Int {
    for (index in demand.pieces.indices.reversed()) {
        if (holders(demand.pieces[index])?.hasSlot(slot) == true) return index + 1
    }
    return 0
}
