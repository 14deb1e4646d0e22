package org.nutmegspring.usage

import org.nutmegspring.identity.OrganisationId

/** Counts the requests of each organisation that began to run, by window of the time of day. */
class WindowCounts(private val windowMilliseconds: Long, private val kept: Int = DEFAULT_KEPT) {
    private val windows = sortedMapOf<Long, MutableMap<OrganisationId, Long>>()

    /** Counts a request of [organisation] that began at [atMilliseconds] since the epoch. */
    fun began(organisation: OrganisationId, atMilliseconds: Long) {
        val window = Math.floorDiv(atMilliseconds, windowMilliseconds)
        windows.getOrPut(window) { mutableMapOf() }.merge(organisation, 1, Long::plus)
        while (windows.size > kept) windows.remove(windows.firstKey())
    }

    /** Returns the counts of the windows that are kept. */
    fun snapshot(): Map<Long, Map<OrganisationId, Long>> = windows.mapValues { it.value.toMap() }

    private companion object {
        /** Windows are reported within a few windows of their end. */
        const val DEFAULT_KEPT = 5
    }
}
