package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.usage.NumberRanges
import org.nutmegspring.usage.SettledBatches
import org.nutmegspring.usage.UsageBatch

/** Forwards [batches] to the receiver, which keeps them until they are reported as [settled]. Idempotent. */
@Serializable
@SerialName("usage")
data class UsageHandOnRequest(
    @SerialName("b") val batches: List<UsageBatch>,
    @SerialName("s") val settled: List<SettledBatches>,
) : InnerRequest

/** Confirms that the receiver keeps the batches of a [UsageHandOnRequest]. */
@Serializable
@SerialName("usageKept")
data object UsageHandOnReply : InnerReply

/** Requests the receiver's own batches of [shard] up to [window]. Those in [included] are in fixed windows. */
@Serializable
@SerialName("usageOwn")
data class UsageOwnRequest(
    @SerialName("s") val shard: Int,
    @SerialName("w") val window: Long,
    @SerialName("n") val included: NumberRanges,
) : InnerRequest

/** The [batches] of the replier, [source], and the other processes whose batches of the shard the replier keeps. */
@Serializable
@SerialName("usageOwned")
data class UsageOwnReply(
    @SerialName("i") val source: Incarnation,
    @SerialName("b") val batches: List<UsageBatch>,
    @SerialName("k") val keptSources: List<Incarnation>,
) : InnerReply

/** The [numbers] of the batches of [source] that are already included in fixed windows. */
@Serializable
data class IncludedNumbers(
    @SerialName("i") val source: Incarnation,
    @SerialName("n") val numbers: NumberRanges,
)

/** Requests the batches of [shard] up to [window] that the receiver keeps for the processes in [sources]. */
@Serializable
@SerialName("usageKeptOf")
data class UsageKeptRequest(
    @SerialName("s") val shard: Int,
    @SerialName("w") val window: Long,
    @SerialName("i") val sources: List<IncludedNumbers>,
) : InnerRequest

/** The batches that a [UsageKeptRequest] requested. */
@Serializable
@SerialName("usageKeptBy")
data class UsageKeptReply(
    @SerialName("b") val batches: List<UsageBatch>,
) : InnerReply
