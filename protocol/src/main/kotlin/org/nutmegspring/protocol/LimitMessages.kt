package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId

/**
 * Asks a holder of slots of [organisation] for tokens. [incarnation] and [number] identify the ask for good.
 *
 * @property needed the tokens that a waiting request lacks
 * @property wanted the tokens that are welcome beyond [needed]
 */
@Serializable
@SerialName("tokens")
data class AskTokensRequest(
    val incarnation: Incarnation,
    val organisation: OrganisationId,
    val number: Long,
    val needed: Long,
    val wanted: Long,
) : InnerRequest

/** Grants [tokens] to the asker, and says how many tokens the holder has left. */
@Serializable
@SerialName("tokens-reply")
data class AskTokensReply(
    val tokens: Long,
    val level: Long,
) : InnerReply

/** Says how many tokens of the grant [number] were not spent and never will be. */
@Serializable
data class ReturnedTokens(
    val organisation: OrganisationId,
    val number: Long,
    val unspent: Long,
)

/** Reports on grants that the receiver made to the process [incarnation] of the sender. */
@Serializable
@SerialName("return-tokens")
data class ReturnTokensRequest(
    val incarnation: Incarnation,
    val returns: List<ReturnedTokens>,
) : InnerRequest

/** Acknowledges a [ReturnTokensRequest]. */
@Serializable
@SerialName("return-tokens-reply")
data object ReturnTokensReply : InnerReply

/** Asks which processes hold the slots of the limits. */
@Serializable
@SerialName("slots")
data object SlotHoldersRequest : InnerRequest

/** The holder of one slot, or none. */
@Serializable
data class SlotHolderEntry(
    val instance: InstanceId?,
    val incarnation: Incarnation?,
)

/** The holders of all slots, shard by shard, as far as the sender knows them. */
@Serializable
@SerialName("slots-reply")
data class SlotHoldersReply(val shards: List<List<SlotHolderEntry>>) : InnerReply
