package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId

/**
 * Requests tokens from a holder of slots of [organisation]. [incarnation] and [number] identify the
 * request permanently.
 *
 * @property needed the tokens that a waiting caller request still lacks
 * @property wanted the tokens to prefetch beyond [needed] for expected demand
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

/** Grants [tokens] to the requester. [level] is the number of tokens that the holder has left. */
@Serializable
@SerialName("tokens-reply")
data class AskTokensReply(
    val tokens: Long,
    val level: Long,
) : InnerReply

/** Reports that [unspent] tokens of the grant [number] were not spent and never will be. */
@Serializable
data class ReturnedTokens(
    val organisation: OrganisationId,
    val number: Long,
    val unspent: Long,
)

/** Reports the unspent tokens of grants that the receiver made to the process [incarnation] of the sender. */
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

/** Requests the processes that hold the slots of the limits. */
@Serializable
@SerialName("slots")
data object SlotHoldersRequest : InnerRequest

/** The holder of one slot, or none. */
@Serializable
data class SlotHolderEntry(
    val instance: InstanceId?,
    val incarnation: Incarnation?,
)

/** The holders of all slots, grouped by shard, as far as the replier knows them. */
@Serializable
@SerialName("slots-reply")
data class SlotHoldersReply(val shards: List<List<SlotHolderEntry>>) : InnerReply
