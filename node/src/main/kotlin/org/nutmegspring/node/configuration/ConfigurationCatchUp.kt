package org.nutmegspring.node.configuration

import arrow.core.getOrElse
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.OfferOutcome
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.ShardReference
import org.nutmegspring.configuration.shardOf
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision

/**
 * Updates the replica to the greatest revision known to exist, from peers that have applied it or else from the store.
 *
 * Lock order: the mutex of this object is acquired before the lock of [SharedReplica].
 */
internal class ConfigurationCatchUp(
    private val replica: SharedReplica,
    private val store: ChainStore,
    private val peers: ConfigurationPeers,
) {
    private val mutex = Mutex()

    /** Tries to reach the greatest known revision and returns whether the replica has applied it. */
    suspend fun run(): Boolean = mutex.withLock {
        if (isBehind()) updateFromPeers()
        if (isBehind()) updateFromStore()
        !isBehind()
    }

    private fun isBehind(): Boolean = replica.revision < replica.greatestKnown

    private suspend fun updateFromPeers() {
        val holders = replica.findHolders(replica.revision.next()).sorted()
        for (peer in holders.take(MAXIMUM_PEERS)) {
            val answer = peers.fetchChanges(peer, replica.revision).getOrElse { null } ?: continue
            when (answer) {
                is PeerChanges.Changes -> answer.changes.forEach { replica.offer(it) }
                is PeerChanges.Manifest -> offerManifest(answer.manifest, peer)
            }
            if (!isBehind()) return
        }
    }

    private suspend fun updateFromStore() {
        val head = store.readHead().getOrElse { null }?.head ?: return
        if (head.revision <= replica.revision) return
        val manifest = store.readManifest(head).getOrElse { null } ?: return
        offerManifest(manifest, peer = null)
    }

    private suspend fun offerManifest(manifest: ChainManifest, peer: InstanceId?): OfferOutcome? {
        val current = replica.state
        if (manifest.revision <= current.revision) return null
        val missing = manifest.shards.filter { (shard, reference) -> current.manifest.shards[shard] != reference }
        val fetched = fetchShards(missing, peer) ?: return null
        val unchangedRecords = current.records.entries
            .filter { shardOf(it.key) !in missing && shardOf(it.key) in manifest.shards }
            .map { it.value }
        return replica.offer(ChainState.of(manifest, fetched + ShardContent(unchangedRecords)))
    }

    private suspend fun fetchShards(shards: Map<Int, ShardReference>, peer: InstanceId?): List<ShardContent>? {
        val contents = HashMap<Int, ShardContent>()
        if (peer != null) {
            shards.entries.chunked(MAXIMUM_SHARDS_PER_REQUEST).forEach { batch ->
                val wanted = batch.associate { it.key to it.value }
                peers.fetchShards(peer, wanted).onRight { contents += it.filterKeys { shard -> shard in wanted } }
            }
        }
        shards.filterKeys { it !in contents }.forEach { (shard, reference) ->
            contents[shard] = store.readShard(shard, reference).getOrElse { null } ?: return null
        }
        return contents.values.toList()
    }

    /** Tries to update the replica to [revision] or a greater one and returns whether that succeeded. */
    suspend fun catchUpTo(revision: Revision): Boolean {
        replica.recordRevision(revision)
        return run()
    }

    private companion object {
        const val MAXIMUM_PEERS = 3
        const val MAXIMUM_SHARDS_PER_REQUEST = 8
    }
}
