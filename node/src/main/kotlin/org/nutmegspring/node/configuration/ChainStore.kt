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

/** The head of the chain and the version of the stored object that holds it. */
internal data class StoredHead(
    val head: ChainHead,
    val version: ObjectVersion,
)

/** Reads and writes the stored objects that make up the configuration chain. */
internal class ChainStore(private val objects: ObjectStore) {
    /** Returns the head, or null if no change has been committed yet. */
    suspend fun readHead(): Either<StoreFailure, StoredHead?> = objects.read(HEAD_KEY).map { stored ->
        stored?.let { StoredHead(json.decodeFromString(ChainHead.serializer(), it.value), it.version) }
    }

    /** Returns the manifest that [head] points to, or null if it has since been deleted. */
    suspend fun readManifest(head: ChainHead): Either<StoreFailure, ChainManifest?> =
        objects.read(createManifestKey(head.revision, head.writer)).map { stored ->
            stored?.let { json.decodeFromString(ChainManifest.serializer(), it.value) }
        }

    /** Returns the content of [shard] at [reference], or null if it has since been deleted. */
    suspend fun readShard(shard: Int, reference: ShardReference): Either<StoreFailure, ShardContent?> =
        objects.read(createShardKey(shard, reference)).map { stored ->
            stored?.let { json.decodeFromString(ShardContent.serializer(), it.value) }
        }

    /** Writes [content] as the object of [shard] at [reference]. Idempotent: an existing object counts as written. */
    suspend fun writeShard(shard: Int, reference: ShardReference, content: ShardContent): Either<StoreFailure, Unit> =
        create(createShardKey(shard, reference), json.encodeToString(ShardContent.serializer(), content))

    /** Writes [manifest] as the manifest of [writer]. Idempotent: an existing object counts as written. */
    suspend fun writeManifest(manifest: ChainManifest, writer: WriteId): Either<StoreFailure, Unit> = create(
        createManifestKey(manifest.revision, writer),
        json.encodeToString(ChainManifest.serializer(), manifest),
    )

    /** Replaces the head by [head] if its stored version is still [previous]; null requires that no head exists. */
    suspend fun writeHead(head: ChainHead, previous: ObjectVersion?): Either<StoreFailure, ObjectVersion> {
        val condition = previous?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        return objects.write(HEAD_KEY, json.encodeToString(ChainHead.serializer(), head), condition)
    }

    /** Deletes the manifest that [writer] wrote for [revision]. */
    suspend fun deleteManifest(revision: Revision, writer: WriteId): Either<StoreFailure, Unit> =
        delete(createManifestKey(revision, writer))

    /** Deletes the object of [shard] at [reference]. */
    suspend fun deleteShard(shard: Int, reference: ShardReference): Either<StoreFailure, Unit> =
        delete(createShardKey(shard, reference))

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
 * Returns the stored objects of a chain whose first revision contains [values], in the order in which they must be
 * written: shards, manifest, head.
 */
fun createInitialChain(values: List<PartValue>, operator: OperatorName): List<Pair<ObjectKey, String>> {
    val writer = WriteId(Incarnation(0), 0)
    val edits = values.map { ConfigurationEdit.Put(it) }
    val state = ChainState.EMPTY.apply(ConfigurationChange(Revision.NONE.next(), writer, operator, edits))
    val shards = state.manifest.shards.map { (shard, reference) ->
        createShardKey(shard, reference) to json.encodeToString(ShardContent.serializer(), state.shardContent(shard))
    }
    val manifest = json.encodeToString(ChainManifest.serializer(), state.manifest)
    val head = json.encodeToString(ChainHead.serializer(), ChainHead(state.revision, writer))
    return shards + (createManifestKey(state.revision, writer) to manifest) + (HEAD_KEY to head)
}

private val json = Json { ignoreUnknownKeys = true }
private val HEAD_KEY = ObjectKey("configuration/head")

private fun createManifestKey(revision: Revision, writer: WriteId) =
    ObjectKey("configuration/manifest/${formatObjectName(revision, writer)}")

private fun createShardKey(shard: Int, reference: ShardReference) =
    ObjectKey("configuration/shard/$shard/${formatObjectName(reference.revision, reference.writer)}")

private fun formatObjectName(revision: Revision, writer: WriteId) = "$revision-${writer.incarnation}-${writer.sequence}"
