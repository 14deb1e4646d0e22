package org.nutmegspring.usage

import org.nutmegspring.identity.OrganisationId

/** Counts the requests that each organisation started in each window of wall-clock time. */
class WindowCounts(private val windowMilliseconds: Long, private val retainedWindows: Int = DEFAULT_RETAINED_WINDOWS) {
    private val windows = sortedMapOf<Long, MutableMap<OrganisationId, Long>>()

    /** Counts a request of [organisation] that started at [atMilliseconds] since the epoch. */
    fun recordStart(organisation: OrganisationId, atMilliseconds: Long) {
        val window = Math.floorDiv(atMilliseconds, windowMilliseconds)
        windows.getOrPut(window) { mutableMapOf() }.merge(organisation, 1, Long::plus)
        while (windows.size > retainedWindows) windows.remove(windows.firstKey())
    }

    /** Returns the counts of the retained windows. */
    fun snapshot(): Map<Long, Map<OrganisationId, Long>> = windows.mapValues { it.value.toMap() }

    private companion object {
        /** Covers the delay of reports: a window is reported within a few windows of its end. */
        const val DEFAULT_RETAINED_WINDOWS = 5
    }
}
