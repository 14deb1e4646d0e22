package org.nutmegspring.usage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation

/**
 * States that all batches of [source] and [shard] numbered below [firstOpen] are included in fixed windows and can be
 * discarded.
 */
@Serializable
public data class SettledBatches(
    @SerialName("i") public val source: Incarnation,
    @SerialName("s") public val shard: Int,
    @SerialName("n") public val firstOpen: Long,
)
