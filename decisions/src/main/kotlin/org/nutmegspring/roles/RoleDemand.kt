package org.nutmegspring.roles

/**
 * What was asked of the engines of one model in a second.
 *
 * @property prefillTokens prompt tokens that were not cached
 * @property outputTokens generated tokens
 * @property longPromptTokens the uncached tokens of a long prompt, about the 95th percentile
 */
data class RoleDemand(
    val prefillTokens: Double,
    val outputTokens: Double,
    val longPromptTokens: Double,
)

/** How many engines have each role. */
data class RoleCounts(val prefill: Int, val decode: Int, val mixed: Int) {
    /** How many engines there are. */
    val total: Int get() = prefill + decode + mixed

    /** Returns how many engines have to change for [target]. */
    fun changesTo(target: RoleCounts): Int =
        maxOf(0, target.prefill - prefill) + maxOf(0, target.decode - decode) + maxOf(0, target.mixed - mixed)
}

/** Returns all ways to give roles to [engines] engines that leave both prompts and output with an engine. */
fun possibleRoleCounts(engines: Int): List<RoleCounts> = buildList {
    for (prefill in 0 until engines) {
        for (decode in 0..engines - prefill) {
            val paired = (prefill > 0) == (decode > 0)
            if (paired) add(RoleCounts(prefill, decode, engines - prefill - decode))
        }
    }
}
