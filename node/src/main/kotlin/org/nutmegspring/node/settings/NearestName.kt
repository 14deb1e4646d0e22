package org.nutmegspring.node.settings

import org.apache.commons.text.similarity.LevenshteinDistance

private const val MAXIMUM_EDITS = 4

/** Returns the element of [known] that [given] was most likely meant to be, or null when none is near. */
fun nearestName(given: String, known: Set<String>): String? {
    val distance = LevenshteinDistance(MAXIMUM_EDITS)
    return known
        .associateWith { distance.apply(given.lowercase(), it.lowercase()) }
        .filterValues { it >= 0 }
        .minByOrNull { it.value }
        ?.key
}
