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
 * Hands what this instance counts to another one, keeps what others hand to it, and gathers the batches of a window.
 *
 * Lock order: the lock of [ledger] is the only lock, and nothing suspends while it is held.
 *
 * @property handOnInterval the time between two batches of this instance
 */
class UsageExchange(
    private val ledger: SharedUsageLedger,
    private val network: InnerNetwork,
    private val membership: Membership,
    private val handOnInterval: Duration = 1.seconds,
) : InnerHandler {
    @Volatile
    private var failedKeepers = emptySet<InstanceId>()

    /** Hands batches on until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(handOnInterval)
            handOn()
        }
    }

    /** Seals what was counted and hands it to a keeper. Returns whether nothing is left to hand on. */
    suspend fun handOn(): Boolean {
        ledger.seal()
        val members = membership.peers().mapTo(HashSet()) { it.id }
        val batches = ledger.use { it.batchesWithoutKeeper(members, BATCHES_PER_MESSAGE) }
        if (batches.isEmpty()) return true
        repeat(KEEPERS_TRIED) {
            val keeper = keeper()?.id ?: return true
            val request = UsageHandOnRequest(batches, ledger.use { it.settledBatches() })
            val reply = network.exchange(keeper, request, HAND_ON_TIMEOUT).getOrNull()
            if (reply is UsageHandOnReply) {
                ledger.use { it.recordKeeper(batches, keeper) }
                return batches.size < BATCHES_PER_MESSAGE
            }
            failedKeepers = failedKeepers.intersect(members) + keeper
        }
        return false
    }

    /** Returns the batches of [shard] for the window after [previous] that can be reached now. */
    suspend fun gather(shard: Int, previous: FixedWindow): List<UsageBatch> {
        val included = previous.included.associate { it.source to it.numbers }
        val window = previous.window + 1
        val replies = eachOf(membership.peers()) { peer ->
            val request = UsageOwnRequest(shard, window, included[peer.incarnation] ?: NumberRanges())
            network.exchange(peer.id, request, EXCHANGE_TIMEOUT).getOrNull() as? UsageOwnReply
        } + (membership.self to own(UsageOwnRequest(shard, window, included[ledger.source] ?: NumberRanges())))
        val answered = replies.mapTo(HashSet()) { it.second.source }
        val kept = eachOf(replies.map { it.first }) { member ->
            val reply = replies.first { it.first.id == member.id }.second
            val sources = (reply.keptSources - answered).map { IncludedNumbers(it, included[it] ?: NumberRanges()) }
            if (sources.isEmpty()) null else kept(member.id, UsageKeptRequest(shard, window, sources))
        }
        return replies.flatMap { it.second.batches } + kept.flatMap { it.second.batches }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is UsageHandOnRequest -> keep(request)
        is UsageOwnRequest -> own(request)
        is UsageKeptRequest -> kept(request)
        else -> null
    }

    private fun keep(request: UsageHandOnRequest): InnerReply {
        ledger.use { held ->
            held.keep(request.batches)
            request.settled.forEach(held::dropKept)
        }
        return UsageHandOnReply
    }

    private fun own(request: UsageOwnRequest): UsageOwnReply = ledger.use { held ->
        held.dropOwn(request.shard, request.included)
        val batches = held.ownBatches(request.shard, request.window).take(BATCHES_PER_MESSAGE)
        UsageOwnReply(held.source, batches, held.keptSources(request.shard).toList())
    }

    private suspend fun kept(member: InstanceId, request: UsageKeptRequest): UsageKeptReply? =
        if (member == membership.self.id) {
            kept(request)
        } else {
            network.exchange(member, request, EXCHANGE_TIMEOUT).getOrNull() as? UsageKeptReply
        }

    private fun kept(request: UsageKeptRequest): UsageKeptReply = ledger.use { held ->
        request.sources.forEach { held.dropKept(it.source, request.shard, it.numbers) }
        val sources = request.sources.mapTo(HashSet<Incarnation>()) { it.source }
        UsageKeptReply(held.keptBatches(request.shard, request.window, sources).take(BATCHES_PER_MESSAGE))
    }

    /** Prefers another data centre, and one that answered last time. */
    private fun keeper(): MemberState? = membership.peers().minWithOrNull(
        compareBy(
            { it.id in failedKeepers },
            { it.dataCentre == membership.self.dataCentre },
            { keeperRank(membership.self.id, it.id) },
        ),
    )

    private suspend fun <T : Any> eachOf(
        members: List<MemberState>,
        ask: suspend (MemberState) -> T?,
    ): List<Pair<MemberState, T>> = coroutineScope {
        val permits = Semaphore(CONCURRENT_EXCHANGES)
        members
            .map { member -> async { permits.withPermit { ask(member)?.let { member to it } } } }
            .awaitAll()
            .filterNotNull()
    }

    private companion object {
        val EXCHANGE_TIMEOUT = 1.seconds
        val HAND_ON_TIMEOUT = 400.milliseconds
        const val KEEPERS_TRIED = 3
        const val CONCURRENT_EXCHANGES = 32
        const val BATCHES_PER_MESSAGE = 2_000
    }
}
