package org.nutmegspring.node.execution

import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.execution.ClaimId
import org.nutmegspring.execution.Claimant
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.protocol.ClaimQuery
import org.nutmegspring.protocol.ClaimQueryReply
import org.nutmegspring.protocol.ClaimStatus
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks claimants how their runs stand, and answers those that ask about runs of this process.
 *
 * @property patience how long a repeat waits for a run to end
 */
internal class Claimants(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val network: InnerNetwork,
    private val ledger: RunLedger<ClaimId>,
    private val patience: Duration = 10.seconds,
) : InnerHandler {
    /** Returns how the run of [claimant] stands, or null when it cannot be reached. */
    suspend fun ask(id: ClaimId, claimant: Claimant): ClaimQueryReply? {
        if (claimant.instance == instance) return know(id, claimant.incarnation, claimant.sequence, patience)
        val query = ClaimQuery(
            id.organisation,
            id.key,
            claimant.incarnation,
            claimant.sequence,
            patience.inWholeMilliseconds,
        )
        return network.exchange(claimant.instance, query, patience + EXCHANGE_TIME).getOrNull() as? ClaimQueryReply
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? {
        if (request !is ClaimQuery) return null
        val id = ClaimId(request.organisation, request.key)
        val wait = request.waitMilliseconds.milliseconds.coerceIn(Duration.ZERO, patience)
        return know(id, request.incarnation, request.sequence, wait)
    }

    private suspend fun know(id: ClaimId, asked: Incarnation, sequence: Long, wait: Duration): ClaimQueryReply {
        if (asked != incarnation) return ClaimQueryReply(ClaimStatus.NOT_KNOWN)
        return when (val known = ledger.find(id, sequence)) {
            LedgerKnowledge.Abandoned -> ClaimQueryReply(ClaimStatus.ABANDONED)
            LedgerKnowledge.NotKnown -> ClaimQueryReply(ClaimStatus.NOT_KNOWN)
            is LedgerKnowledge.Known -> replyOf(withTimeoutOrNull(wait) { known.run.outcome.await() })
        }
    }

    private fun replyOf(outcome: RunOutcome?): ClaimQueryReply = when (outcome) {
        null -> ClaimQueryReply(ClaimStatus.RUNNING)
        is RunOutcome.Ran -> ClaimQueryReply(ClaimStatus.ANSWERED, recordedAnswer(outcome.answer))
        is RunOutcome.Lost -> ClaimQueryReply(ClaimStatus.UNKNOWN)
        is RunOutcome.NotRun -> ClaimQueryReply(ClaimStatus.ABANDONED)
        is RunOutcome.RanElsewhere -> ClaimQueryReply(ClaimStatus.ABANDONED)
        is RunOutcome.UnknownElsewhere -> ClaimQueryReply(ClaimStatus.ABANDONED)
    }

    private companion object {
        val EXCHANGE_TIME = 1.seconds
    }
}
