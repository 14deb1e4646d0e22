package org.nutmegspring.usage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation

/** The batches of [source] and [shard] below [firstOpen] are in fixed windows and need no longer be kept. */
@Serializable
public data class SettledBatches(
    @SerialName("i") public val source: Incarnation,
    @SerialName("s") public val shard: Int,
    @SerialName("n") public val firstOpen: Long,
)
