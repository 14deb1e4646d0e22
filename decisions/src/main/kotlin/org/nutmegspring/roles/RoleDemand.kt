package org.nutmegspring.roles

/**
 * The demand on the engines of one model.
 *
 * @property prefillTokens uncached prompt tokens per second
 * @property outputTokens generated tokens per second
 * @property longPromptTokens the uncached tokens of a long prompt, about the 95th percentile
 */
data class RoleDemand(
    val prefillTokens: Double,
    val outputTokens: Double,
    val longPromptTokens: Double,
)

/** The number of engines in each role. */
data class RoleCounts(val prefill: Int, val decode: Int, val mixed: Int) {
    /** The number of engines in all roles. */
    val total: Int get() = prefill + decode + mixed

    /** Returns how many engines have to change their role to reach [target]. */
    fun countChangesTo(target: RoleCounts): Int =
        maxOf(0, target.prefill - prefill) + maxOf(0, target.decode - decode) + maxOf(0, target.mixed - mixed)
}

/**
 * Returns every allocation of [engines] engines that has both prefill and decode engines, or neither and so mixed ones
 * only.
 */
fun listPossibleRoleCounts(engines: Int): List<RoleCounts> = buildList {
    for (prefill in 0 until engines) {
        for (decode in 0..engines - prefill) {
            val isPaired = (prefill > 0) == (decode > 0)
            if (isPaired) add(RoleCounts(prefill, decode, engines - prefill - decode))
        }
    }
}
