package org.nutmegspring.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.Revision

/** One edit of the configuration. */
@Serializable
public sealed interface ConfigurationEdit {
    /** The edited part. */
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

/** Identifies one attempt to write a configuration change, so that the writer recognises its own write. */
@Serializable
public data class WriteId(
    public val incarnation: Incarnation,
    public val sequence: Long,
)

/** The change from the previous revision to [revision]. Its edits are applied atomically. */
@Serializable
public data class ConfigurationChange(
    public val revision: Revision,
    public val writer: WriteId,
    public val operator: OperatorName,
    public val edits: List<ConfigurationEdit>,
)

/** Refers to the stored object that holds the content of a shard. The object is immutable once written. */
@Serializable
public data class ShardReference(
    public val revision: Revision,
    public val writer: WriteId,
)

/** A write and the revision that it produced. */
@Serializable
public data class ChainLogEntry(
    public val revision: Revision,
    public val writer: WriteId,
)

/**
 * Lists the objects that make up the configuration at one [revision].
 *
 * @property shards the object that holds each shard; shards never written are omitted
 * @property log the most recent changes, oldest first
 */
@Serializable
public data class ChainManifest(
    public val revision: Revision,
    public val writer: WriteId?,
    public val shards: Map<Int, ShardReference>,
    public val log: List<ChainLogEntry>,
) {
    /** Holds the initial manifest. */
    public companion object {
        /** The manifest of the empty configuration. */
        public val EMPTY: ChainManifest = ChainManifest(Revision.NONE, null, emptyMap(), emptyList())
    }
}

/** The head of the chain. It is the only object of the chain that is overwritten, always by a conditional write. */
@Serializable
public data class ChainHead(
    public val revision: Revision,
    public val writer: WriteId,
)

/** The records of the parts in one shard, sorted by path. */
@Serializable
public data class ShardContent(public val records: List<PartRecord>)
