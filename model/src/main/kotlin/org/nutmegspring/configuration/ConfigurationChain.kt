package org.nutmegspring.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.Revision

/** One edit of the configuration. */
@Serializable
public sealed interface ConfigurationEdit {
    /** The part that is edited. */
    public val part: ConfigurationPart

    /** Creates or replaces a part. */
    @Serializable
    @SerialName("put")
    public data class Put(public val value: PartValue) : ConfigurationEdit {
        override val part: ConfigurationPart get() = value.part
    }

    /** Removes a part. */
    @Serializable
    @SerialName("remove")
    public data class Remove(override val part: ConfigurationPart) : ConfigurationEdit
}

/** Identifies one attempt of a process to change the configuration, so that the process recognises its own write. */
@Serializable
public data class WriteId(
    public val incarnation: Incarnation,
    public val sequence: Long,
)

/** The change that leads to [revision] from the revision before it. It is applied whole or not at all. */
@Serializable
public data class ConfigurationChange(
    public val revision: Revision,
    public val writer: WriteId,
    public val operator: OperatorName,
    public val edits: List<ConfigurationEdit>,
)

/** Names the object that holds a shard. An object of this name is written once. */
@Serializable
public data class ShardReference(
    public val revision: Revision,
    public val writer: WriteId,
)

/** The revision to which a write led. */
@Serializable
public data class ChainLogEntry(
    public val revision: Revision,
    public val writer: WriteId,
)

/**
 * The contents of the configuration at one [revision] by reference.
 *
 * @property shards the object of each shard that is not empty
 * @property log the last changes, oldest first
 */
@Serializable
public data class ChainManifest(
    public val revision: Revision,
    public val writer: WriteId?,
    public val shards: Map<Int, ShardReference>,
    public val log: List<ChainLogEntry>,
) {
    /** Holds the start of the chain. */
    public companion object {
        /** The manifest of the empty configuration. */
        public val EMPTY: ChainManifest = ChainManifest(Revision.NONE, null, emptyMap(), emptyList())
    }
}

/** The end of the chain. It is the only object that is overwritten, and only by a conditional write. */
@Serializable
public data class ChainHead(
    public val revision: Revision,
    public val writer: WriteId,
)

/** The parts of one shard, in the order of their paths. */
@Serializable
public data class ShardContent(public val records: List<PartRecord>)
