package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.identity.Revision

/** Asks which revision the receiver applies. The sender applies [revision]. */
@Serializable
@SerialName("configuration-state")
data class ConfigurationStateRequest(val revision: Revision) : InnerRequest

/**
 * Says which revision the sender applies.
 *
 * @property evidenceAgeMilliseconds the age of its evidence of being current, or null without evidence
 * @property voting whether it may count in a quorum
 */
@Serializable
@SerialName("configuration-state-reply")
data class ConfigurationStateReply(
    val revision: Revision,
    val evidenceAgeMilliseconds: Long?,
    val voting: Boolean,
) : InnerReply

/** Hands on a change that stands in the store. */
@Serializable
@SerialName("configuration-push")
data class PushChangeRequest(val change: ConfigurationChange) : InnerRequest

/** Says which revision the receiver of a push applies now. */
@Serializable
@SerialName("configuration-push-reply")
data class PushChangeReply(val revision: Revision) : InnerReply

/** Asks for what changed after [revision]. */
@Serializable
@SerialName("configuration-changes")
data class ChangesRequest(val revision: Revision) : InnerRequest

/** The changes after the revision that was asked for, without gaps, oldest first. */
@Serializable
@SerialName("configuration-changes-reply")
data class ChangesReply(val changes: List<ConfigurationChange>) : InnerReply

/** The manifest of the applied revision, in place of changes that are no longer at hand. */
@Serializable
@SerialName("configuration-manifest-reply")
data class ManifestReply(val manifest: ChainManifest) : InnerReply

/** Asks for the contents of shards as they stand at the given references. */
@Serializable
@SerialName("configuration-shards")
data class ShardsRequest(val shards: Map<Int, ShardReference>) : InnerRequest

/** The contents of those shards that the sender holds at the references that were asked for. */
@Serializable
@SerialName("configuration-shards-reply")
data class ShardsReply(val contents: Map<Int, ShardContent>) : InnerReply
