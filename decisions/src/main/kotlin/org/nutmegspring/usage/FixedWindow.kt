package org.nutmegspring.usage

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.UsageFigure
import org.nutmegspring.platform.UsageReport

/**
 * The batches of [source] whose figures are in a window or in one before it.
 *
 * @property lastWindow the greatest window of these batches
 */
@Serializable
data class IncludedSource(
    val source: Incarnation,
    val numbers: NumberRanges,
    val lastWindow: Long,
)

/** The figures of a window of one shard. It is created in the store once and never changed. */
@Serializable
data class FixedWindow(
    val shard: Int,
    val window: Long,
    val figures: List<UsageFigure>,
    val included: List<IncludedSource>,
) {
    /** Returns the report of these figures by the holder of [fencing]. */
    fun toReport(fencing: FencingToken): UsageReport = UsageReport(window, shard, figures, fencing)
}

/** How far the windows of a shard are known to be fixed and reported. Later ones may be fixed as well. */
@Serializable
data class WindowProgress(
    val fixed: Long,
    val reported: Long,
)

/** Returns the key of the figures of [window] for [shard]. */
fun windowKey(shard: Int, window: Long): ObjectKey = ObjectKey("usage/$shard/windows/$window")

/** Returns the key of the progress of [shard]. */
fun progressKey(shard: Int): ObjectKey = ObjectKey("usage/$shard/progress")
