package org.nutmegspring.placement

import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds

/**
 * The share of each shared prefix in the prompt tokens that an instance has received lately, without the shared ones.
 *
 * Engines that have a prefix cached prefill only the other tokens of its prompts. The share of these thus is the share
 * of the engines that the prefix needs. Instances see different samples of the same demand, and their shares differ a
 * little.
 */
class PrefixDemand {
    private class Demand(var tokens: Double, var requests: Double) {
        fun add(ownTokens: Int) {
            tokens += ownTokens
            requests += 1.0
        }
    }

    private val prefixes = LinkedHashMap<Long, Demand>(INITIAL_PREFIXES, LOAD_FACTOR, true)
    private val total = Demand(0.0, 0.0)
    private var updatedAt = MonotonicTime.ZERO

    /** Records a prompt with [ownTokens] beyond the shared prefix [prefixHash], null for none, received at [now]. */
    fun record(prefixHash: Long?, ownTokens: Int, now: MonotonicTime) {
        decay(now)
        total.add(ownTokens)
        if (prefixHash == null) return
        prefixes.getOrPut(prefixHash) { Demand(0.0, 0.0) }.add(ownTokens)
        if (prefixes.size > MAXIMUM_PREFIXES) prefixes.remove(prefixes.keys.first())
    }

    /**
     * Returns the share of [prefixHash], from 0 to 1. One request of a prefix is no evidence that there will be others,
     * and an instance that has just started has seen few, so that one request is left out of the count.
     */
    fun findShare(prefixHash: Long): Double {
        val demand = prefixes[prefixHash] ?: return 0.0
        if (demand.requests <= 1) return 0.0
        val repeated = demand.tokens * (demand.requests - 1) / demand.requests
        return repeated / maxOf(total.tokens, total.tokens / total.requests * MINIMUM_REQUESTS)
    }

    /** Reduces all counts by age, at most once in [DECAY_STEP], and forgets prefixes that are no longer requested. */
    private fun decay(now: MonotonicTime) {
        val age = now - updatedAt
        if (age < DECAY_STEP) return
        updatedAt = now
        val factor = exp(-(age / DECAY_TIME))
        for (demand in prefixes.values + total) {
            demand.tokens *= factor
            demand.requests *= factor
        }
        prefixes.values.removeIf { it.requests < FORGOTTEN_REQUESTS }
    }

    private companion object {
        /** An instance of a large fleet receives about two prompts a second, so that a share takes a minute to show. */
        val DECAY_TIME = 60.seconds
        val DECAY_STEP = 1.seconds
        const val FORGOTTEN_REQUESTS = 0.05

        /** Bounds the memory when callers send ever new prefixes; the least recently requested are dropped. */
        const val MAXIMUM_PREFIXES = 4_096
        const val INITIAL_PREFIXES = 64
        const val LOAD_FACTOR = 0.75f

        /** Fewer requests are no sample of the demand. */
        const val MINIMUM_REQUESTS = 50
    }
}
