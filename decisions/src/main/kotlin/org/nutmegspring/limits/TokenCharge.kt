package org.nutmegspring.limits

import kotlin.time.Duration

/** A part of a charge and the source it was taken from. */
internal sealed interface ChargePart {
    /** The amount of this part, in tokens. */
    val tokens: Long

    /** Charged to the bucket of the instance's own slots. */
    data class Own(override val tokens: Long, val bucket: TokenBucket, val mark: HistoryMark) : ChargePart

    /** Charged to a grant received from another instance. */
    data class Granted(override val tokens: Long, val grant: ReceivedGrant) : ChargePart
}

/** A charge of [tokens], to be settled once the actual usage is known. */
class TokenCharge internal constructor(val tokens: Long, internal val parts: List<ChargePart>) {
    internal var isSettled = false
}

/** The outcome of an attempt to charge a request. */
sealed interface ChargeDecision {
    /** The request is charged and may run. */
    data class Charged(val charge: TokenCharge) : ChargeDecision

    /** Tokens are lacking: send [requests] to their holders, record the replies, and charge again. */
    data class RequestGrants(val requests: List<GrantRequest>) : ChargeDecision

    /** The request must not run. The caller may retry after [retryAfter], or must not retry if that is null. */
    data class Refused(val retryAfter: Duration?) : ChargeDecision
}
