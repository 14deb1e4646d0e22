package org.nutmegspring.node.limits

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.Grant
import org.nutmegspring.limits.GrantKey
import org.nutmegspring.limits.GrantRequest
import org.nutmegspring.limits.LimitShard
import org.nutmegspring.limits.OrganisationReturn
import org.nutmegspring.limits.SlotEntry
import org.nutmegspring.limits.SlotHolder
import org.nutmegspring.limits.SlotRecord
import org.nutmegspring.protocol.AskTokensReply
import org.nutmegspring.protocol.AskTokensRequest
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.ReturnTokensReply
import org.nutmegspring.protocol.ReturnTokensRequest
import org.nutmegspring.protocol.ReturnedTokens
import org.nutmegspring.protocol.SlotHolderEntry
import org.nutmegspring.protocol.SlotHoldersReply
import org.nutmegspring.protocol.SlotHoldersRequest
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** Requests token grants from other instances, and answers their requests. */
internal class GrantExchange(
    private val limits: SharedLimitTable,
    private val incarnation: Incarnation,
    private val network: InnerNetwork,
    private val shardCount: Int,
    private val meters: LimitMeters,
) : InnerHandler {
    /** Sends [requests], decided at [decidedAt], and records the replies. Cancellation does not interrupt it. */
    suspend fun requestGrants(organisation: OrganisationId, requests: List<GrantRequest>, decidedAt: MonotonicTime) {
        withContext(NonCancellable) {
            requests.map { async { requestGrant(organisation, it, decidedAt) } }.awaitAll()
        }
    }

    /** Sends the pending reports periodically until the coroutine is cancelled. */
    suspend fun reportPeriodically(): Nothing {
        while (true) {
            delay(reportInterval)
            sendReports()
        }
    }

    /** Sends the pending reports on unspent grants to the slot holders that issued them. */
    suspend fun sendReports() {
        limits.withTable { now -> drainReports(now) }.forEach { (holder, returns) ->
            network.exchange(holder, ReturnTokensRequest(incarnation, returns.map(::toReturnedTokens)), reportTimeout)
        }
    }

    /** Requests the slot holders from [peer], and returns whether it knows a holder in every shard. */
    suspend fun fetchSlotHolders(peer: InstanceId): Boolean {
        val reply = network.exchange(peer, SlotHoldersRequest, reportTimeout).getOrNull() as? SlotHoldersReply
            ?: return false
        if (reply.shards.size != shardCount) return false
        limits.withTable { now ->
            reply.shards.forEachIndexed {
                shard,
                slots,
                ->
                acceptSlotHint(LimitShard(shard), SlotRecord(slots.map(::createSlotEntry)), now)
            }
        }
        return reply.shards.all { slots -> slots.any { it.instance != null } }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is AskTokensRequest -> grant(from, request)
        is ReturnTokensRequest -> reclaim(from, request)
        is SlotHoldersRequest -> slotHolders()
        else -> null
    }

    private suspend fun requestGrant(organisation: OrganisationId, request: GrantRequest, decidedAt: MonotonicTime) {
        meters.requests.increment()
        val message = AskTokensRequest(incarnation, organisation, request.number, request.needed, request.wanted)
        val reply = network.exchange(request.holder, message, requestTimeout).getOrNull() as? AskTokensReply
        if (reply == null) meters.unansweredRequests.increment()
        limits.withTable { now ->
            val ledger = existingLedger(organisation) ?: return@withTable
            if (reply == null) {
                ledger.recordUnanswered(request, now)
            } else {
                ledger.recordGrant(request, Grant(request.number, reply.tokens, reply.level), decidedAt, now)
            }
        }
    }

    private fun grant(from: InstanceId, request: AskTokensRequest): AskTokensReply {
        val key = GrantKey(from, request.incarnation, request.number)
        val grant = limits.withTable { now ->
            ledger(request.organisation, now)?.grant(key, request.needed, request.wanted, now)
        }
        meters.grantedTokens.increment(grant?.tokens?.toDouble() ?: 0.0)
        return AskTokensReply(grant?.tokens ?: 0, grant?.level ?: 0)
    }

    private fun reclaim(from: InstanceId, request: ReturnTokensRequest): ReturnTokensReply {
        limits.withTable { now ->
            request.returns.forEach { returned ->
                val key = GrantKey(from, request.incarnation, returned.number)
                existingLedger(returned.organisation)?.reclaim(key, returned.unspent, now)
            }
        }
        return ReturnTokensReply
    }

    private fun slotHolders(): SlotHoldersReply = limits.withTable {
        SlotHoldersReply(
            List(shardCount) { shard ->
                slots(LimitShard(shard)).slots.map { SlotHolderEntry(it.holder?.instance, it.holder?.incarnation) }
            },
        )
    }

    private fun toReturnedTokens(returned: OrganisationReturn) =
        ReturnedTokens(returned.organisation, returned.grant.number, returned.grant.unspent)

    private fun createSlotEntry(reported: SlotHolderEntry): SlotEntry {
        val instance = reported.instance
        val incarnation = reported.incarnation
        val holder = if (instance != null && incarnation != null) SlotHolder(instance, incarnation) else null
        return SlotEntry(holder, everHeld = true)
    }

    private companion object {
        val requestTimeout = 250.milliseconds
        val reportInterval = 100.milliseconds
        val reportTimeout = 500.milliseconds
    }
}
