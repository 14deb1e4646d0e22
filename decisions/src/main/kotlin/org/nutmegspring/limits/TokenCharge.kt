package org.nutmegspring.limits

import kotlin.time.Duration

/** Where a part of a charge was taken from. */
internal sealed interface ChargePart {
    /** The amount in tokens. */
    val tokens: Long

    /** The instance's own slots. */
    data class Own(override val tokens: Long, val bucket: TokenBucket, val mark: HistoryMark) : ChargePart

    /** A grant of another instance. */
    data class Granted(override val tokens: Long, val grant: ReceivedGrant) : ChargePart
}

/** A charge of [tokens] that has to be settled once. */
class TokenCharge internal constructor(val tokens: Long, internal val parts: List<ChargePart>) {
    internal var settled = false
}

/** What to do about a request that has to be charged. */
sealed interface ChargeDecision {
    /** The request may run. */
    data class Charged(val charge: TokenCharge) : ChargeDecision

    /** Send [asks], hand in the answers, and decide again. */
    data class Collect(val asks: List<GrantAsk>) : ChargeDecision

    /** The request must not run. It may come back after [retryAfter], or never when that is null. */
    data class Refused(val retryAfter: Duration?) : ChargeDecision
}
