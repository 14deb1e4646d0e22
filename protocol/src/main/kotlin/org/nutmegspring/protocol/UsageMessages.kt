package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.usage.NumberRanges
import org.nutmegspring.usage.SettledBatches
import org.nutmegspring.usage.UsageBatch

/** Hands [batches] to the receiver, which keeps them until they are [settled]. A repeat is harmless. */
@Serializable
@SerialName("usage")
data class UsageHandOnRequest(
    @SerialName("b") val batches: List<UsageBatch>,
    @SerialName("s") val settled: List<SettledBatches>,
) : InnerRequest

/** Says that the batches of a [UsageHandOnRequest] are kept. */
@Serializable
@SerialName("usageKept")
data object UsageHandOnReply : InnerReply

/** Asks for the receiver's own batches of [shard] up to [window]. Those in [included] are in fixed windows. */
@Serializable
@SerialName("usageOwn")
data class UsageOwnRequest(
    @SerialName("s") val shard: Int,
    @SerialName("w") val window: Long,
    @SerialName("n") val included: NumberRanges,
) : InnerRequest

/** The [batches] of [source], and the other processes of which the sender keeps batches of the shard. */
@Serializable
@SerialName("usageOwned")
data class UsageOwnReply(
    @SerialName("i") val source: Incarnation,
    @SerialName("b") val batches: List<UsageBatch>,
    @SerialName("k") val keptSources: List<Incarnation>,
) : InnerReply

/** The batches of [source] with these [numbers] are in fixed windows. */
@Serializable
data class IncludedNumbers(
    @SerialName("i") val source: Incarnation,
    @SerialName("n") val numbers: NumberRanges,
)

/** Asks for the batches of [shard] up to [window] that the receiver keeps for the processes in [sources]. */
@Serializable
@SerialName("usageKeptOf")
data class UsageKeptRequest(
    @SerialName("s") val shard: Int,
    @SerialName("w") val window: Long,
    @SerialName("i") val sources: List<IncludedNumbers>,
) : InnerRequest

/** The batches that a [UsageKeptRequest] asked for. */
@Serializable
@SerialName("usageKeptBy")
data class UsageKeptReply(
    @SerialName("b") val batches: List<UsageBatch>,
) : InnerReply
