package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.identity.Revision

/** Asks which revision the receiver has applied. The sender has applied [revision]. */
@Serializable
@SerialName("configuration-state")
data class ConfigurationStateRequest(val revision: Revision) : InnerRequest

/**
 * Reports which revision the replier has applied.
 *
 * @property evidenceAgeMilliseconds the age of the replier's freshness evidence, or null if it has none
 * @property canVote whether the replier may count towards a quorum
 */
@Serializable
@SerialName("configuration-state-reply")
data class ConfigurationStateReply(
    val revision: Revision,
    val evidenceAgeMilliseconds: Long?,
    @SerialName("voting") val canVote: Boolean,
) : InnerReply

/** Forwards a change that is already committed to the store. */
@Serializable
@SerialName("configuration-push")
data class PushChangeRequest(val change: ConfigurationChange) : InnerRequest

/** Reports which revision the receiver of a [PushChangeRequest] has applied after handling it. */
@Serializable
@SerialName("configuration-push-reply")
data class PushChangeReply(val revision: Revision) : InnerReply

/** Requests the changes after [revision]. */
@Serializable
@SerialName("configuration-changes")
data class ChangesRequest(val revision: Revision) : InnerRequest

/** The changes after the requested revision, without gaps, oldest first. */
@Serializable
@SerialName("configuration-changes-reply")
data class ChangesReply(val changes: List<ConfigurationChange>) : InnerReply

/** The manifest of the applied revision, sent when the replier no longer retains the requested changes. */
@Serializable
@SerialName("configuration-manifest-reply")
data class ManifestReply(val manifest: ChainManifest) : InnerReply

/** Requests the contents of [shards] at the given references, by shard number. */
@Serializable
@SerialName("configuration-shards")
data class ShardsRequest(val shards: Map<Int, ShardReference>) : InnerRequest

/** The contents of those requested shards that the replier holds at the requested references. */
@Serializable
@SerialName("configuration-shards-reply")
data class ShardsReply(val contents: Map<Int, ShardContent>) : InnerReply
