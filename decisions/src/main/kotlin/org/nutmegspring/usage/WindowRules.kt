package org.nutmegspring.usage

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.UsageFigure

/**
 * Decides which batches a window consists of.
 *
 * A window takes in every batch of its own or an earlier window that no earlier one took in. It names all of them, so
 * each batch is in exactly one window, whoever computes them and however often.
 *
 * @property retention how many windows a batch may be late before it is left out
 */
open class WindowRules(private val retention: Long) {
    /** Returns the window after [previous], made from the [gathered] batches, which may hold some twice. */
    open fun follow(previous: FixedWindow, gathered: Collection<UsageBatch>): FixedWindow {
        val window = previous.window + 1
        val batches = gathered
            .filter { it.shard == previous.shard && it.window <= window && it.window >= window - retention }
            .filterNot { isIncluded(previous, it) }
            .distinctBy { it.source to it.number }
        return FixedWindow(previous.shard, window, figures(batches, window), included(previous, batches, window))
    }

    /** Whether the figures of [batch] are in [fixed] or in a window before it. */
    private fun isIncluded(fixed: FixedWindow, batch: UsageBatch): Boolean =
        fixed.included.any { it.source == batch.source && batch.number in it.numbers }

    private fun figures(batches: List<UsageBatch>, window: Long): List<UsageFigure> {
        val sums = HashMap<Pair<Long, OrganisationId>, UsageEntry>()
        for (batch in batches) {
            for (entry in batch.entries) sums.merge(batch.window to entry.organisation, entry, UsageEntry::plus)
        }
        return sums.entries
            .sortedWith(compareBy({ it.key.first }, { it.key.second.value }))
            .map { (key, sum) -> sum.toFigure(key.first.takeIf { it < window }) }
    }

    private fun included(previous: FixedWindow, batches: List<UsageBatch>, window: Long): List<IncludedSource> {
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
