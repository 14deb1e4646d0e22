package org.nutmegspring.node.control

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.membership.MemberState
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.protocol.IncludedNumbers
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.UsageHandOnReply
import org.nutmegspring.protocol.UsageHandOnRequest
import org.nutmegspring.protocol.UsageKeptReply
import org.nutmegspring.protocol.UsageKeptRequest
import org.nutmegspring.protocol.UsageOwnReply
import org.nutmegspring.protocol.UsageOwnRequest
import org.nutmegspring.usage.FixedWindow
import org.nutmegspring.usage.NumberRanges
import org.nutmegspring.usage.UsageBatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replicates the usage batches of this instance to another one, their keeper, keeps the batches of others, and gathers
 * the batches for a window.
 *
 * Lock order: the lock of [ledger] is the only lock, and no code suspends while holding it.
 *
 * @property replicationInterval the time between two replications, and so between two batches of this instance
 */
class UsageExchange(
    private val ledger: SharedUsageLedger,
    private val network: InnerNetwork,
    private val membership: Membership,
    private val replicationInterval: Duration = 1.seconds,
) : InnerHandler {
    @Volatile
    private var failedKeepers = emptySet<InstanceId>()

    /** Replicates batches until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(replicationInterval)
            replicateBatches()
        }
    }

    /**
     * Seals the open batches and replicates all without a keeper to one. Returns whether no more can be replicated now:
     * all batches have keepers, or there is no other instance.
     */
    suspend fun replicateBatches(): Boolean {
        ledger.seal()
        val members = membership.peers().mapTo(HashSet()) { it.id }
        val batches = ledger.withLock { it.batchesWithoutKeeper(members, MAXIMUM_BATCHES_PER_MESSAGE) }
        if (batches.isEmpty()) return true
        repeat(MAXIMUM_KEEPER_ATTEMPTS) {
            val keeper = selectKeeper()?.id ?: return true
            val request = UsageHandOnRequest(batches, ledger.withLock { it.settledBatches() })
            val reply = network.exchange(keeper, request, REPLICATION_TIMEOUT).getOrNull()
            if (reply is UsageHandOnReply) {
                ledger.withLock { it.recordKeeper(batches, keeper) }
                return batches.size < MAXIMUM_BATCHES_PER_MESSAGE
            }
            failedKeepers = failedKeepers.intersect(members) + keeper
        }
        return false
    }

    /**
     * Returns the batches of [shard] for the window after [previous] from all instances that answer. The batches of a
     * process that does not answer itself are requested from those of the answering instances that keep them.
     */
    suspend fun gatherBatches(shard: Int, previous: FixedWindow): List<UsageBatch> {
        val included = previous.included.associate { it.source to it.numbers }
        val window = previous.window + 1
        val replies = fetchFromEach(membership.peers()) { peer ->
            val request = UsageOwnRequest(shard, window, included[peer.incarnation] ?: NumberRanges())
            network.exchange(peer.id, request, EXCHANGE_TIMEOUT).getOrNull() as? UsageOwnReply
        } + (membership.self to createReply(UsageOwnRequest(shard, window, included[ledger.source] ?: NumberRanges())))
        val answered = replies.mapTo(HashSet()) { it.second.source }
        val kept = fetchFromEach(replies.map { it.first }) { member ->
            val reply = replies.first { it.first.id == member.id }.second
            val sources = (reply.keptSources - answered).map { IncludedNumbers(it, included[it] ?: NumberRanges()) }
            if (sources.isEmpty()) null else fetchKeptBatches(member.id, UsageKeptRequest(shard, window, sources))
        }
        return replies.flatMap { it.second.batches } + kept.flatMap { it.second.batches }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is UsageHandOnRequest -> keepBatches(request)
        is UsageOwnRequest -> createReply(request)
        is UsageKeptRequest -> createReply(request)
        else -> null
    }

    private fun keepBatches(request: UsageHandOnRequest): InnerReply {
        ledger.withLock { locked ->
            locked.keep(request.batches)
            request.settled.forEach(locked::dropKept)
        }
        return UsageHandOnReply
    }

    private fun createReply(request: UsageOwnRequest): UsageOwnReply = ledger.withLock { locked ->
        locked.dropOwn(request.shard, request.included)
        val batches = locked.ownBatches(request.shard, request.window).take(MAXIMUM_BATCHES_PER_MESSAGE)
        UsageOwnReply(locked.source, batches, locked.keptSources(request.shard).toList())
    }

    private suspend fun fetchKeptBatches(member: InstanceId, request: UsageKeptRequest): UsageKeptReply? =
        if (member == membership.self.id) {
            createReply(request)
        } else {
            network.exchange(member, request, EXCHANGE_TIMEOUT).getOrNull() as? UsageKeptReply
        }

    private fun createReply(request: UsageKeptRequest): UsageKeptReply = ledger.withLock { locked ->
        request.sources.forEach { locked.dropKept(it.source, request.shard, it.numbers) }
        val sources = request.sources.mapTo(HashSet<Incarnation>()) { it.source }
        UsageKeptReply(locked.keptBatches(request.shard, request.window, sources).take(MAXIMUM_BATCHES_PER_MESSAGE))
    }

    /** Prefers instances to which no replication failed while they were peers, then those in another data centre. */
    private fun selectKeeper(): MemberState? = membership.peers().minWithOrNull(
        compareBy(
            { it.id in failedKeepers },
            { it.dataCentre == membership.self.dataCentre },
            { computeKeeperRank(membership.self.id, it.id) },
        ),
    )

    private suspend fun <T : Any> fetchFromEach(
        members: List<MemberState>,
        request: suspend (MemberState) -> T?,
    ): List<Pair<MemberState, T>> = coroutineScope {
        val permits = Semaphore(MAXIMUM_CONCURRENT_EXCHANGES)
        members
            .map { member -> async { permits.withPermit { request(member)?.let { member to it } } } }
            .awaitAll()
            .filterNotNull()
    }

    private companion object {
        val EXCHANGE_TIMEOUT = 1.seconds
        val REPLICATION_TIMEOUT = 400.milliseconds
        const val MAXIMUM_KEEPER_ATTEMPTS = 3
        const val MAXIMUM_CONCURRENT_EXCHANGES = 32
        const val MAXIMUM_BATCHES_PER_MESSAGE = 2_000
    }
}
