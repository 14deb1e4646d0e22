package org.nutmegspring.measure.usage

import kotlinx.serialization.json.Json
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.virtual.FaultWorld
import org.nutmegspring.platform.UsageFigure
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.usage.FixedWindow
import org.nutmegspring.usage.NumberRanges
import org.nutmegspring.usage.UsageBatch
import org.nutmegspring.usage.UsageEntry
import org.nutmegspring.usage.windowKey

/** Knows every batch that any process sealed, and checks reports against them. */
internal class UsageTruth(private val world: FaultWorld) {
    private val batches = HashMap<Incarnation, HashMap<Int, HashMap<Long, UsageBatch>>>()
    private val taken = HashSet<Triple<Incarnation, Int, Long>>()
    private val reported = HashMap<Pair<Int, Long>, List<UsageFigure>>()

    /** How many windows were reported, each counted once. */
    val windows: Int get() = reported.size

    /** How many reports the platform accepted. */
    var reports = 0
        private set

    /** How many figures were late. */
    val lateFigures: Int get() = reported.values.sumOf { figures -> figures.count { it.lateFromWindow != null } }

    /** The tokens in all reported figures, and in late ones. */
    fun reportedTokens(late: Boolean): Long = reported.values.flatten()
        .filter { !late || it.lateFromWindow != null }
        .sumOf { it.promptTokens + it.outputTokens }

    /** Records [sealed] batches. */
    fun record(sealed: List<UsageBatch>) {
        sealed.forEach { batch ->
            batches.getOrPut(batch.source) { HashMap() }.getOrPut(batch.shard) { HashMap() }[batch.number] = batch
        }
    }

    /** Accepts [report]. [authorised] says whether its sender is in charge at this time. */
    fun accept(report: UsageReport, authorised: Boolean) {
        world.record("platform accepts the report of window ${report.window} of shard ${report.shard}")
        reports++
        val earlier = reported.putIfAbsent(report.shard to report.window, report.figures)
        world.monitor.check(Invariant.ONE_REPORTER, authorised) { "window ${report.window} of ${report.shard}" }
        world.monitor.check(Invariant.ONE_FIGURE_PER_WINDOW, earlier == null || earlier == report.figures) {
            "window ${report.window} of shard ${report.shard}: ${report.figures} after $earlier"
        }
        if (earlier == null) checkFigures(report)
    }

    /** Returns the batches of [source] that are in no reported window. */
    fun missing(source: Incarnation): List<UsageBatch> =
        batches[source].orEmpty().values.flatMap { it.values }.filter { key(it) !in taken }

    /** Returns the window [window] of [shard] that stands in the store. */
    fun fixed(shard: Int, window: Long): FixedWindow? =
        world.objects.read(windowKey(shard, window))?.let { Json.decodeFromString<FixedWindow>(it.value) }

    private fun checkFigures(report: UsageReport) {
        val fixed = fixed(report.shard, report.window)
        val previous = fixed(report.shard, report.window - 1)
        val added = fixed?.included.orEmpty().flatMap { included ->
            val before = numbers(previous, included.source)
            batches[included.source]?.get(report.shard).orEmpty().values
                .filter { it.number in included.numbers && it.number !in before }
        }
        world.monitor.check(
            Invariant.USAGE_COUNTED_ONCE,
            added.all {
                taken.add(Triple(it.source, it.shard, it.number))
            },
        ) {
            "window ${report.window} of shard ${report.shard} takes in batches again"
        }
        val expected = added.flatMap { it.entries }.groupBy { it.organisation }
            .mapValues { (_, entries) -> entries.reduce(UsageEntry::plus) }
        val told = report.figures.groupBy { it.organisation }.mapValues { (organisation, figures) ->
            UsageEntry(
                organisation = organisation,
                promptTokens = figures.sumOf { it.promptTokens },
                outputTokens = figures.sumOf { it.outputTokens },
                executions = figures.sumOf { it.executions },
            )
        }
        world.monitor.check(Invariant.USAGE_COUNTED_ONCE, expected == told) {
            "window ${report.window} of shard ${report.shard}: $told in place of $expected"
        }
    }

    private fun key(batch: UsageBatch) = Triple(batch.source, batch.shard, batch.number)

    private fun numbers(fixed: FixedWindow?, source: Incarnation): NumberRanges =
        fixed?.included?.find { it.source == source }?.numbers ?: NumberRanges()
}
