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

/** Asks the claimant of a request how it stands. The receiver waits up to [waitMilliseconds] for it to end. */
@Serializable
@SerialName("claim")
data class ClaimQuery(
    val organisation: OrganisationId?,
    val key: IdempotencyKey,
    val incarnation: Incarnation,
    val sequence: Long,
    val waitMilliseconds: Long,
) : InnerRequest

/** How a claimed request stands at its claimant. */
@Serializable
enum class ClaimStatus {
    /** It has not ended. */
    RUNNING,

    /** The attempt has not sent it and never will. */
    ABANDONED,

    /** The receiver does not remember the attempt. */
    NOT_KNOWN,

    /** It ran, and the answer is at hand. */
    ANSWERED,

    /** It was sent, and whether it ran is not known. */
    UNKNOWN,
}

/** The reply to a [ClaimQuery]. [answer] is present when [status] is [ClaimStatus.ANSWERED]. */
@Serializable
@SerialName("claimed")
data class ClaimQueryReply(val status: ClaimStatus, val answer: RecordedAnswer? = null) : InnerReply

/** Hands a call to the process that its ticket names. */
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

/** The reply to a [TicketCall]: either [answer] or [failure]. [executed] tells a first run from a repeat. */
@Serializable
@SerialName("ticketed")
data class TicketCallReply(
    val answer: RecordedAnswer? = null,
    val executed: Boolean = false,
    val failure: ToldFailure? = null,
) : InnerReply

/** A failure as one instance tells it to another. */
@Serializable
data class ToldFailure(
    val step: Step,
    val peer: String,
    val effect: Effect,
    val message: String,
    val retryAfterMilliseconds: Long?,
) {
    /** Returns the failure that was told. */
    fun toFailure(): Failure =
        Failure(step, Peer(peer), effect, message, retryAfterMilliseconds?.milliseconds)
}

/** Returns [failure] in the form in which it is told to another instance. */
fun toldFailure(failure: Failure): ToldFailure = ToldFailure(
    failure.step,
    failure.peer.value,
    failure.effect,
    failure.message,
    failure.retryAfter?.inWholeMilliseconds,
)
