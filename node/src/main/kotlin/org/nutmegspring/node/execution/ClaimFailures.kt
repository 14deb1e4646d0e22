package org.nutmegspring.node.execution

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val RETRY_SOON = 1.seconds

/** The key was used for another request. */
internal fun keyReused(): Failure =
    Failure(Step.CLAIM, Peer.CALLER, Effect.NOT_RUN, "the idempotency key was used for another request")

/** This attempt sent nothing because [reason]. */
internal fun notClaimed(peer: Peer, reason: String): Failure =
    Failure(Step.CLAIM, peer, Effect.NOT_RUN, "$reason; this attempt did not run", RETRY_SOON)

/** Whether the request ran is not known. With [retryAfter], a repeat may learn it. */
internal fun outcomeUnknown(peer: Peer, reason: String, retryAfter: Duration? = null): Failure =
    Failure(Step.CLAIM, peer, Effect.UNKNOWN, reason, retryAfter)

/** Another request with the same key still runs at [peer]. */
internal fun stillRunning(peer: Peer): Failure =
    outcomeUnknown(peer, "a request with the same idempotency key is running", RETRY_SOON)
