package org.nutmegspring.usage

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.UsageFigure

/**
 * Decides which batches each fixed window includes.
 *
 * A fixed window includes every available batch of its own or an earlier window, within [retention], that no earlier
 * fixed window includes. It records all included batches, so no batch is in two windows, whichever instance computes
 * them and however often.
 *
 * @property retention how many windows late a batch may be and still be included
 */
open class WindowRules(private val retention: Long) {
    /** Computes the window after [previous] from the [candidates], which may contain duplicates. */
    open fun nextWindow(previous: FixedWindow, candidates: Collection<UsageBatch>): FixedWindow {
        val window = previous.window + 1
        val batches = candidates
            .filter { it.shard == previous.shard && it.window <= window && it.window >= window - retention }
            .filterNot { isIncluded(previous, it) }
            .distinctBy { it.source to it.number }
        return FixedWindow(
            previous.shard,
            window,
            sumFigures(batches, window),
            mergeIncluded(previous, batches, window),
        )
    }

    /** Whether [batch] is included in [fixed] or an earlier window. */
    private fun isIncluded(fixed: FixedWindow, batch: UsageBatch): Boolean =
        fixed.included.any { it.source == batch.source && batch.number in it.numbers }

    private fun sumFigures(batches: List<UsageBatch>, window: Long): List<UsageFigure> {
        val sums = HashMap<Pair<Long, OrganisationId>, UsageEntry>()
        for (batch in batches) {
            for (entry in batch.entries) sums.merge(batch.window to entry.organisation, entry, UsageEntry::plus)
        }
        return sums.entries
            .sortedWith(compareBy({ it.key.first }, { it.key.second.value }))
            .map { (key, sum) -> sum.toFigure(key.first.takeIf { it < window }) }
    }

    private fun mergeIncluded(previous: FixedWindow, batches: List<UsageBatch>, window: Long): List<IncludedSource> {
        val added = batches.groupBy { it.source }
        val known = previous.included.associateBy { it.source }
        return (known.keys + added.keys)
            .map { source ->
                val numbers = added[source].orEmpty()
                IncludedSource(
                    source = source,
                    numbers = (known[source]?.numbers ?: NumberRanges()).with(numbers.map { it.number }),
                    lastWindow = maxOf(known[source]?.lastWindow ?: 0, numbers.maxOfOrNull { it.window } ?: 0),
                )
            }
            .filter { it.lastWindow >= window - retention }
            .sortedBy { it.source.value }
    }

    private fun UsageEntry.toFigure(lateFromWindow: Long?): UsageFigure =
        UsageFigure(organisation, promptTokens, outputTokens, executions, lateFromWindow)
}
