package org.nutmegspring.node.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.nutmegspring.configuration.ChainHead
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ConfigurationEdit
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.configuration.WriteId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.Revision
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition

/** The head of the chain with the version of its object. */
internal data class StoredHead(
    val head: ChainHead,
    val version: ObjectVersion,
)

/** Reads and writes the objects of the configuration's chain. */
internal class ChainStore(private val objects: ObjectStore) {
    /** Returns the head, or null before the first change. */
    suspend fun readHead(): Either<StoreFailure, StoredHead?> = objects.read(HEAD_KEY).map { stored ->
        stored?.let { StoredHead(json.decodeFromString(ChainHead.serializer(), it.value), it.version) }
    }

    /** Returns the manifest to which [head] points, or null when it was deleted since. */
    suspend fun readManifest(head: ChainHead): Either<StoreFailure, ChainManifest?> =
        objects.read(manifestKey(head.revision, head.writer)).map { stored ->
            stored?.let { json.decodeFromString(ChainManifest.serializer(), it.value) }
        }

    /** Returns the content of [shard] at [reference], or null when it was deleted since. */
    suspend fun readShard(shard: Int, reference: ShardReference): Either<StoreFailure, ShardContent?> =
        objects.read(shardKey(shard, reference)).map { stored ->
            stored?.let { json.decodeFromString(ShardContent.serializer(), it.value) }
        }

    /** Writes [content] as the object of [shard] at [reference]. A repeat is harmless. */
    suspend fun writeShard(shard: Int, reference: ShardReference, content: ShardContent): Either<StoreFailure, Unit> =
        create(shardKey(shard, reference), json.encodeToString(ShardContent.serializer(), content))

    /** Writes [manifest]. A repeat is harmless. */
    suspend fun writeManifest(manifest: ChainManifest, writer: WriteId): Either<StoreFailure, Unit> = create(
        manifestKey(manifest.revision, writer),
        json.encodeToString(ChainManifest.serializer(), manifest),
    )

    /** Makes [head] the head when the object stands at [previous], null standing for its absence. */
    suspend fun writeHead(head: ChainHead, previous: ObjectVersion?): Either<StoreFailure, ObjectVersion> {
        val condition = previous?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        return objects.write(HEAD_KEY, json.encodeToString(ChainHead.serializer(), head), condition)
    }

    /** Deletes the manifest of [revision] by [writer]. */
    suspend fun deleteManifest(revision: Revision, writer: WriteId): Either<StoreFailure, Unit> =
        delete(manifestKey(revision, writer))

    /** Deletes the object of [shard] at [reference]. */
    suspend fun deleteShard(shard: Int, reference: ShardReference): Either<StoreFailure, Unit> =
        delete(shardKey(shard, reference))

    private suspend fun create(key: ObjectKey, value: String): Either<StoreFailure, Unit> =
        objects.write(key, value, WriteCondition.Absent).fold(
            { if (it is StoreFailure.Conflict) Unit.right() else it.left() },
            { Unit.right() },
        )

    private suspend fun delete(key: ObjectKey): Either<StoreFailure, Unit> = objects.read(key).fold(
        { it.left() },
        { stored -> stored?.let { objects.delete(key, it.version) } ?: Unit.right() },
    )
}

/**
 * Returns the objects of a chain whose first revision holds the parts [values], in the order in which they have to be
 * written.
 */
fun initialChain(values: List<PartValue>, operator: OperatorName): List<Pair<ObjectKey, String>> {
    val writer = WriteId(Incarnation(0), 0)
    val edits = values.map { ConfigurationEdit.Put(it) }
    val state = ChainState.EMPTY.apply(ConfigurationChange(Revision.NONE.next(), writer, operator, edits))
    val shards = state.manifest.shards.map { (shard, reference) ->
        shardKey(shard, reference) to json.encodeToString(ShardContent.serializer(), state.shardContent(shard))
    }
    val manifest = json.encodeToString(ChainManifest.serializer(), state.manifest)
    val head = json.encodeToString(ChainHead.serializer(), ChainHead(state.revision, writer))
    return shards + (manifestKey(state.revision, writer) to manifest) + (HEAD_KEY to head)
}

private val json = Json { ignoreUnknownKeys = true }
private val HEAD_KEY = ObjectKey("configuration/head")

private fun manifestKey(revision: Revision, writer: WriteId) =
    ObjectKey("configuration/manifest/${nameOf(revision, writer)}")

private fun shardKey(shard: Int, reference: ShardReference) =
    ObjectKey("configuration/shard/$shard/${nameOf(reference.revision, reference.writer)}")

private fun nameOf(revision: Revision, writer: WriteId) = "$revision-${writer.incarnation}-${writer.sequence}"
