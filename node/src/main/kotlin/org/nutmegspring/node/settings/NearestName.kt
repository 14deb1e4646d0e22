package org.nutmegspring.node.settings

import org.apache.commons.text.similarity.LevenshteinDistance

private const val MAXIMUM_EDITS = 4

/** Returns the element of [known] with the smallest edit distance to [given], or null if none is within the maximum. */
fun findNearestName(given: String, known: Set<String>): String? {
    val distance = LevenshteinDistance(MAXIMUM_EDITS)
    return known
        .associateWith { distance.apply(given.lowercase(), it.lowercase()) }
        .filterValues { it >= 0 }
        .minByOrNull { it.value }
        ?.key
}
