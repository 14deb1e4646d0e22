package org.nutmegspring.placement

/**
 * Estimates which prompt parts an engine has in its prefix cache, from the requests that were sent to it.
 *
 * The engine evicts the least recently used parts. The estimate does the same above [capacityTokens].
 */
class PrefixCacheEstimate(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<Long, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var cachedTokens = 0L

    /** Returns how many tokens at the start of [chain] the engine has cached, by this estimate. */
    fun countCachedTokens(chain: List<PromptPart>): Int {
        var cached = 0
        for (part in chain) {
            if (part.chainHash !in parts) return cached
            cached += part.tokens
        }
        return cached
    }

    /** Records that the engine prefilled [chain]. */
    fun recordPrefill(chain: List<PromptPart>) {
        for (part in chain) {
            if (parts.put(part.chainHash, part.tokens) == null) cachedTokens += part.tokens
        }
        val oldest = parts.entries.iterator()
        while (cachedTokens > capacityTokens && oldest.hasNext()) {
            cachedTokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Empties the estimate after a restart of the engine. */
    fun clear() {
        parts.clear()
        cachedTokens = 0
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
