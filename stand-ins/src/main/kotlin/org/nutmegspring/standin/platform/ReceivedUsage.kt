package org.nutmegspring.standin.platform

import org.nutmegspring.platform.UsageReport

/** The usage reports that the platform accepted. It counts those that repeat a window with other figures. */
class ReceivedUsage {
    private val windows = HashMap<Window, UsageReport>()

    /** How many reports gave a window other figures than before. */
    @get:Synchronized
    var contradictions: Long = 0
        private set

    /** Returns the first report of each window and shard. */
    @Synchronized
    fun reports(): List<UsageReport> = windows.values.sortedWith(compareBy({ it.window }, { it.shard }))

    /** Accepts [report]. */
    @Synchronized
    fun accept(report: UsageReport) {
        val first = windows.putIfAbsent(Window(report.window, report.shard), report)
        if (first != null && first.figures != report.figures) contradictions++
    }

    private data class Window(val number: Long, val shard: Int)
}
