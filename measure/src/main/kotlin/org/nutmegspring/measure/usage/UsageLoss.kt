package org.nutmegspring.measure.usage

import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.usage.UsageEntry
import kotlin.time.Duration

/** What a killed instance took with it: [tokens], the oldest counted [age] before its end. */
internal class UsageLoss(
    val tokens: Long,
    val age: Duration,
)

/** The tokens of an entry that was counted at [at]. */
internal class CountedTokens(
    val at: MonotonicTime,
    entry: UsageEntry,
    val shard: Int,
) {
    /** The tokens of prompt and output. */
    val tokens: Long = entry.promptTokens + entry.outputTokens
}
