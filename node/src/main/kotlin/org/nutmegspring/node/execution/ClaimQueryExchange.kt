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
 * Queries claimants for the status of their runs, and answers queries from other instances about runs of this process.
 *
 * @property maximumWait how long a repeated request waits for a run to end
 */
internal class ClaimQueryExchange(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val network: InnerNetwork,
    private val ledger: RunLedger<ClaimId>,
    private val maximumWait: Duration = 10.seconds,
) : InnerHandler {
    /** Returns the status of the run of [claimant], or null if the claimant cannot be reached. */
    suspend fun query(id: ClaimId, claimant: Claimant): ClaimQueryReply? {
        if (claimant.instance == instance) return answerQuery(id, claimant.incarnation, claimant.sequence, maximumWait)
        val query = ClaimQuery(
            id.organisation,
            id.key,
            claimant.incarnation,
            claimant.sequence,
            maximumWait.inWholeMilliseconds,
        )
        return network.exchange(claimant.instance, query, maximumWait + EXCHANGE_MARGIN).getOrNull() as? ClaimQueryReply
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? {
        if (request !is ClaimQuery) return null
        val id = ClaimId(request.organisation, request.key)
        val wait = request.waitMilliseconds.milliseconds.coerceIn(Duration.ZERO, maximumWait)
        return answerQuery(id, request.incarnation, request.sequence, wait)
    }

    private suspend fun answerQuery(
        id: ClaimId,
        queriedIncarnation: Incarnation,
        sequence: Long,
        wait: Duration,
    ): ClaimQueryReply {
        if (queriedIncarnation != incarnation) return ClaimQueryReply(ClaimStatus.NOT_KNOWN)
        return when (val result = ledger.find(id, sequence)) {
            FindResult.Abandoned -> ClaimQueryReply(ClaimStatus.ABANDONED)
            FindResult.NotKnown -> ClaimQueryReply(ClaimStatus.NOT_KNOWN)
            is FindResult.Known -> createReply(withTimeoutOrNull(wait) { result.run.outcome.await() })
        }
    }

    private fun createReply(outcome: RunOutcome?): ClaimQueryReply = when (outcome) {
        null -> ClaimQueryReply(ClaimStatus.RUNNING)
        is RunOutcome.Completed -> ClaimQueryReply(ClaimStatus.ANSWERED, createRecordedAnswer(outcome.answer))
        is RunOutcome.Unknown -> ClaimQueryReply(ClaimStatus.UNKNOWN)
        is RunOutcome.NotRun -> ClaimQueryReply(ClaimStatus.ABANDONED)
        is RunOutcome.CompletedElsewhere -> ClaimQueryReply(ClaimStatus.ABANDONED)
        is RunOutcome.UnknownElsewhere -> ClaimQueryReply(ClaimStatus.ABANDONED)
    }

    private companion object {
        val EXCHANGE_MARGIN = 1.seconds
    }
}
