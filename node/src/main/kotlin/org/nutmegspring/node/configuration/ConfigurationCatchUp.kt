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
 * Brings the replica up to a revision that is known to exist, from a peer that has it or else from the store.
 *
 * Lock order: this object's mutex comes before the lock of the replica.
 */
internal class ConfigurationCatchUp(
    private val replica: SharedReplica,
    private val store: ChainStore,
    private val peers: ConfigurationPeers,
) {
    private val mutex = Mutex()

    /** Tries to reach the greatest known revision and returns whether the replica stands there. */
    suspend fun run(): Boolean = mutex.withLock {
        if (behind()) fromPeers()
        if (behind()) fromStore()
        !behind()
    }

    private fun behind(): Boolean = replica.revision < replica.greatestKnown

    private suspend fun fromPeers() {
        val holders = replica.holders(replica.revision.next()).sorted()
        for (peer in holders.take(PEERS_ASKED)) {
            val answer = peers.changesAfter(peer, replica.revision).getOrElse { null } ?: continue
            when (answer) {
                is PeerChanges.Changes -> answer.changes.forEach { replica.offer(it) }
                is PeerChanges.Manifest -> offerManifest(answer.manifest, peer)
            }
            if (!behind()) return
        }
    }

    private suspend fun fromStore() {
        val head = store.readHead().getOrElse { null }?.head ?: return
        if (head.revision <= replica.revision) return
        val manifest = store.readManifest(head).getOrElse { null } ?: return
        offerManifest(manifest, peer = null)
    }

    private suspend fun offerManifest(manifest: ChainManifest, peer: InstanceId?): OfferOutcome? {
        val held = replica.state
        if (manifest.revision <= held.revision) return null
        val missing = manifest.shards.filter { (shard, reference) -> held.manifest.shards[shard] != reference }
        val fetched = fetch(missing, peer) ?: return null
        val kept = held.records.entries
            .filter { shardOf(it.key) !in missing && shardOf(it.key) in manifest.shards }
            .map { it.value }
        return replica.offer(ChainState.of(manifest, fetched + ShardContent(kept)))
    }

    private suspend fun fetch(shards: Map<Int, ShardReference>, peer: InstanceId?): List<ShardContent>? {
        val contents = HashMap<Int, ShardContent>()
        if (peer != null) {
            shards.entries.chunked(SHARDS_PER_REQUEST).forEach { batch ->
                val wanted = batch.associate { it.key to it.value }
                peers.shards(peer, wanted).onRight { contents += it.filterKeys { shard -> shard in wanted } }
            }
        }
        shards.filterKeys { it !in contents }.forEach { (shard, reference) ->
            contents[shard] = store.readShard(shard, reference).getOrElse { null } ?: return null
        }
        return contents.values.toList()
    }

    /** Brings the replica to [revision] or a greater one. */
    suspend fun reach(revision: Revision): Boolean {
        replica.heardOf(revision)
        return run()
    }

    private companion object {
        const val PEERS_ASKED = 3
        const val SHARDS_PER_REQUEST = 8
    }
}
