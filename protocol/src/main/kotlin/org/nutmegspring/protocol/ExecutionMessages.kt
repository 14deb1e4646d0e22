package org.nutmegspring.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.nutmegspring.execution.RecordedAnswer
import org.nutmegspring.execution.RecordedHeader
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import kotlin.time.Duration.Companion.milliseconds

/** Queries the claimant for the status of a request. The receiver waits up to [waitMilliseconds] for it to end. */
@Serializable
@SerialName("claim")
data class ClaimQuery(
    val organisation: OrganisationId?,
    val key: IdempotencyKey,
    val incarnation: Incarnation,
    val sequence: Long,
    val waitMilliseconds: Long,
) : InnerRequest

/** The status of a claimed request at its claimant. */
@Serializable
enum class ClaimStatus {
    /** The request has not ended. */
    RUNNING,

    /** The attempt has not sent the request and never will. */
    ABANDONED,

    /** The receiver of the query has no record of the attempt. */
    NOT_KNOWN,

    /** The request ran, and its answer is available. */
    ANSWERED,

    /** The request was sent, and whether it ran is not known. */
    UNKNOWN,
}

/** The reply to a [ClaimQuery]. [answer] is present when [status] is [ClaimStatus.ANSWERED]. */
@Serializable
@SerialName("claimed")
data class ClaimQueryReply(val status: ClaimStatus, val answer: RecordedAnswer? = null) : InnerReply

/** Forwards a call to the process that issued its [ticket]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("ticket")
class TicketCall(
    val organisation: OrganisationId?,
    val ticket: IdempotencyKey,
    val service: ServiceId,
    val request: RequestId,
    val method: String,
    val path: String,
    val headers: List<RecordedHeader>,
    @ByteString val body: ByteArray,
) : InnerRequest

/** The reply to a [TicketCall]: [answer] or [failure]. [executed] is false when [answer] repeats an earlier run. */
@Serializable
@SerialName("ticketed")
data class TicketCallReply(
    val answer: RecordedAnswer? = null,
    val executed: Boolean = false,
    val failure: ReportedFailure? = null,
) : InnerReply

/** The serializable form of a [Failure] that one instance reports to another. */
@Serializable
@SerialName("org.nutmegspring.protocol.ToldFailure")
data class ReportedFailure(
    val step: Step,
    val peer: String,
    val effect: Effect,
    val message: String,
    val retryAfterMilliseconds: Long?,
) {
    /** Returns the [Failure] that was reported. */
    fun toFailure(): Failure =
        Failure(step, Peer(peer), effect, message, retryAfterMilliseconds?.milliseconds)
}

/** Returns the serializable form of [failure]. */
fun createReportedFailure(failure: Failure): ReportedFailure = ReportedFailure(
    failure.step,
    failure.peer.value,
    failure.effect,
    failure.message,
    failure.retryAfter?.inWholeMilliseconds,
)
