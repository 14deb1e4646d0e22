package org.nutmegspring.usage

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.UsageFigure
import org.nutmegspring.platform.UsageReport

/**
 * The batches of [source] that are included in a window or an earlier one.
 *
 * @property numbers the sequence numbers of these batches
 * @property lastWindow the latest window in which any of these batches was counted
 */
@Serializable
data class IncludedSource(
    val source: Incarnation,
    val numbers: NumberRanges,
    val lastWindow: Long,
)

/** The usage figures of one window and shard. The stored object is created once and never changed. */
@Serializable
data class FixedWindow(
    val shard: Int,
    val window: Long,
    val figures: List<UsageFigure>,
    val included: List<IncludedSource>,
) {
    /** Returns the report of these figures by the lease holder with the token [fencing]. */
    fun toReport(fencing: FencingToken): UsageReport = UsageReport(window, shard, figures, fencing)
}

/** The last windows of a shard that are known to be fixed and reported. Later windows may be fixed as well. */
@Serializable
data class WindowProgress(
    val fixed: Long,
    val reported: Long,
)

/** Returns the key of the fixed window [window] of [shard]. */
fun windowKey(shard: Int, window: Long): ObjectKey = ObjectKey("usage/$shard/windows/$window")

/** Returns the key of the window progress of [shard]. */
fun progressKey(shard: Int): ObjectKey = ObjectKey("usage/$shard/progress")
