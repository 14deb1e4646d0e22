package org.nutmegspring.placement

/**
 * Which parts of prompts an engine is believed to hold, from the requests that were sent there.
 *
 * The engine drops the parts used least recently; so does this belief, at [capacityTokens].
 */
class PrefixCacheBelief(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<Long, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var heldTokens = 0L

    /** Returns how many tokens at the start of [chain] the engine is believed to hold. */
    fun heldTokens(chain: List<PromptPart>): Int {
        var held = 0
        for (part in chain) {
            if (part.chainHash !in parts) return held
            held += part.tokens
        }
        return held
    }

    /** Records that the engine read [chain]. */
    fun read(chain: List<PromptPart>) {
        for (part in chain) {
            if (parts.put(part.chainHash, part.tokens) == null) heldTokens += part.tokens
        }
        val oldest = parts.entries.iterator()
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Forgets everything, since the engine started anew. */
    fun clear() {
        parts.clear()
        heldTokens = 0
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
