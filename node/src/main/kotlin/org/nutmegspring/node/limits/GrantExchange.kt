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

/** Exchanges grants with other instances. */
internal class GrantExchange(
    private val limits: SharedLimitTable,
    private val incarnation: Incarnation,
    private val network: InnerNetwork,
    private val shards: Int,
    private val meters: LimitMeters,
) : InnerHandler {
    /** Sends [asks], decided at [askedAt], and hands in the answers. It is not cancelled halfway. */
    suspend fun collect(organisation: OrganisationId, asks: List<GrantRequest>, askedAt: MonotonicTime) {
        withContext(NonCancellable) {
            asks.map { async { ask(organisation, it, askedAt) } }.awaitAll()
        }
    }

    /** Sends reports until the coroutine is cancelled. */
    suspend fun keepReporting(): Nothing {
        while (true) {
            delay(reportInterval)
            report()
        }
    }

    /** Sends what has to be reported. */
    suspend fun report() {
        limits.use { now -> drainReports(now) }.forEach { (holder, returns) ->
            network.exchange(holder, ReturnTokensRequest(incarnation, returns.map(::told)), reportTimeout)
        }
    }

    /** Asks [peer] who holds the slots, and returns whether it knew. */
    suspend fun learnSlots(peer: InstanceId): Boolean {
        val reply = network.exchange(peer, SlotHoldersRequest, reportTimeout).getOrNull() as? SlotHoldersReply
            ?: return false
        if (reply.shards.size != shards) return false
        limits.use { now ->
            reply.shards.forEachIndexed {
                shard,
                slots,
                ->
                acceptSlotHint(LimitShard(shard), SlotRecord(slots.map(::entry)), now)
            }
        }
        return reply.shards.all { slots -> slots.any { it.instance != null } }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? = when (request) {
        is AskTokensRequest -> grant(from, request)
        is ReturnTokensRequest -> takeBack(from, request)
        is SlotHoldersRequest -> slotHolders()
        else -> null
    }

    private suspend fun ask(organisation: OrganisationId, ask: GrantRequest, askedAt: MonotonicTime) {
        meters.asks.increment()
        val request = AskTokensRequest(incarnation, organisation, ask.number, ask.needed, ask.wanted)
        val reply = network.exchange(ask.holder, request, askTimeout).getOrNull() as? AskTokensReply
        if (reply == null) meters.unansweredAsks.increment()
        limits.use { now ->
            val ledger = existingLedger(organisation) ?: return@use
            if (reply == null) {
                ledger.recordUnanswered(ask, now)
            } else {
                ledger.recordGrant(ask, Grant(ask.number, reply.tokens, reply.level), askedAt, now)
            }
        }
    }

    private fun grant(from: InstanceId, request: AskTokensRequest): AskTokensReply {
        val key = GrantKey(from, request.incarnation, request.number)
        val grant = limits.use { now ->
            ledger(request.organisation, now)?.grant(key, request.needed, request.wanted, now)
        }
        meters.grantedTokens.increment(grant?.tokens?.toDouble() ?: 0.0)
        return AskTokensReply(grant?.tokens ?: 0, grant?.level ?: 0)
    }

    private fun takeBack(from: InstanceId, request: ReturnTokensRequest): ReturnTokensReply {
        limits.use { now ->
            request.returns.forEach { returned ->
                val key = GrantKey(from, request.incarnation, returned.number)
                existingLedger(returned.organisation)?.reclaim(key, returned.unspent, now)
            }
        }
        return ReturnTokensReply
    }

    private fun slotHolders(): SlotHoldersReply = limits.use {
        SlotHoldersReply(
            List(shards) { shard ->
                slots(LimitShard(shard)).slots.map { SlotHolderEntry(it.holder?.instance, it.holder?.incarnation) }
            },
        )
    }

    private fun told(returned: OrganisationReturn) =
        ReturnedTokens(returned.organisation, returned.grant.number, returned.grant.unspent)

    private fun entry(told: SlotHolderEntry): SlotEntry {
        val instance = told.instance
        val incarnation = told.incarnation
        val holder = if (instance != null && incarnation != null) SlotHolder(instance, incarnation) else null
        return SlotEntry(holder, everHeld = true)
    }

    private companion object {
        val askTimeout = 250.milliseconds
        val reportInterval = 100.milliseconds
        val reportTimeout = 500.milliseconds
    }
}
