package org.nutmegspring.measure.capacity

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.limits.LimitTable
import org.nutmegspring.limits.SlotHolder
import org.nutmegspring.limits.limitTable
import org.nutmegspring.protocol.AskTokensReply
import org.nutmegspring.protocol.AskTokensRequest
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.ReturnTokensReply
import org.nutmegspring.protocol.ReturnTokensRequest
import org.nutmegspring.protocol.ReturnedTokens
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.microseconds

/** What rate limits cost an instance, by the number of organisations that use it within seconds of each other. */
internal class LimitSlopes(private val sizes: List<Int>) {
    /** The memory of the ledgers, in bytes. */
    fun memory(): Slope = Slope.of("limits: memory [B]", "organisations in use", sizes) { size ->
        heapBytes(ORGANISATIONS_TOGETHER / size) { usedTable(size) }
    }

    /** The time to charge one request, in microseconds. */
    fun chargeTime(): Slope = Slope.of("limits: one charge [us]", "organisations in use", sizes) { size ->
        val table = usedTable(size)
        medianMicroseconds(TRIALS, CHARGES) { index -> charge(table, index % size, index) }
    }

    /** The time of the regular pass over all ledgers, in microseconds. */
    fun tickTime(): Slope = Slope.of("limits: one pass [us]", "organisations in use", sizes) { size ->
        val table = usedTable(size)
        medianMicroseconds(TRIALS, 1) {
            table.tick(MonotonicTime.ZERO)
            table.drainReports(MonotonicTime.ZERO)
        }
    }

    /** The bytes of asking a holder for tokens, of its answer, and of reporting what was left, in messages. */
    @OptIn(ExperimentalSerializationApi::class)
    fun exchangeBytes(): Int {
        val requests = listOf<InnerRequest>(
            AskTokensRequest(INCARNATION, organisation(0), ASK_NUMBER, TOKENS, TOKENS),
            ReturnTokensRequest(INCARNATION, listOf(ReturnedTokens(organisation(0), ASK_NUMBER, TOKENS))),
        )
        val replies = listOf<InnerReply>(AskTokensReply(TOKENS, TOKENS), ReturnTokensReply)
        val bodies = requests.sumOf { Cbor.encodeToByteArray<InnerRequest>(it).size } +
            replies.sumOf { Cbor.encodeToByteArray<InnerReply>(it).size }
        return bodies + (requests.size + replies.size) * FRAME_BYTES
    }

    private fun usedTable(size: Int): LimitTable {
        val table = limitTable(LimitSettings(), SHARDS, SlotHolder(InstanceId("entry-1"), INCARNATION))
        table.apply((0 until size).associate { organisation(it) to RATE }, MonotonicTime.ZERO)
        repeat(size) { charge(table, it, it) }
        return table
    }

    private fun charge(table: LimitTable, number: Int, index: Int) {
        val now = MonotonicTime.ZERO + 1.microseconds * index
        val ledger = checkNotNull(table.ledger(organisation(number), now)) { "no ledger" }
        ledger.recordDemand(TOKENS, now)
        ledger.charge(TOKENS, 0, now)
    }

    private fun organisation(number: Int) = OrganisationId("organisation-$number")

    private companion object {
        const val SHARDS = 64
        const val TOKENS = 400L
        const val ASK_NUMBER = 1_000_000L
        const val ORGANISATIONS_TOGETHER = 96_000
        const val TRIALS = 5
        const val CHARGES = 20_000
        const val FRAME_BYTES = 40
        val INCARNATION = Incarnation(7_000_000_000_000_000_001)
        val RATE = TokenRate(5_000, 10_000)
    }
}
