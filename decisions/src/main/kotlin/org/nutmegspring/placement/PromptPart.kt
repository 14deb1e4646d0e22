package org.nutmegspring.placement

/**
 * One part of a request's prompt. Requests that start with the same parts share their entries in an engine's prefix
 * cache.
 *
 * @property chainHash the hash of this part and all parts before it, so equal hashes mean equal prefixes
 * @property tokens the number of tokens of this part alone
 */
data class PromptPart(
    val chainHash: Long,
    val tokens: Int,
)

/**
 * Returns the prompt parts with [identifiers] and [tokens], each hashed together with its predecessors and the name of
 * [model].
 */
fun buildPromptChain(model: String, identifiers: List<Long>, tokens: List<Int>): List<PromptPart> {
    var hash = model.hashCode().toLong()
    return identifiers.mapIndexed { index, identifier ->
        hash = mixBits(hash xor identifier)
        PromptPart(hash, tokens[index])
    }
}

/** Returns [value] hashed with the finalizer of the splitmix64 generator. */
internal fun mixBits(value: Long): Long {
    var mixed = value + GOLDEN_GAMMA
    mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
    mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
    return mixed xor (mixed ushr THIRD_SHIFT)
}

private const val GOLDEN_GAMMA = -7046029254386353131L
private const val FIRST_FACTOR = -4658895280553007687L
private const val SECOND_FACTOR = -7723592293110705685L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31
