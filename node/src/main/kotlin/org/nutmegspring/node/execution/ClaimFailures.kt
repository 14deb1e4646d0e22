package org.nutmegspring.node.execution

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val RETRY_AFTER = 1.seconds

/** Returns the failure of a request whose idempotency key was already used for a different request. */
internal fun keyReusedFailure(): Failure =
    Failure(Step.CLAIM, Peer.CALLER, Effect.NOT_RUN, "the idempotency key was already used for a different request")

/** Returns the failure of an attempt that sent nothing to an endpoint because of [reason]. */
internal fun notClaimedFailure(peer: Peer, reason: String): Failure =
    Failure(Step.CLAIM, peer, Effect.NOT_RUN, "$reason; this attempt did not run", RETRY_AFTER)

/**
 * Returns the failure of a request of which it is unknown whether it ran. With [retryAfter], a repeated request may get
 * the outcome.
 */
internal fun outcomeUnknownFailure(peer: Peer, reason: String, retryAfter: Duration? = null): Failure =
    Failure(Step.CLAIM, peer, Effect.UNKNOWN, reason, retryAfter)

/** Returns the failure of a request while an earlier request with the same key is still running at [peer]. */
internal fun stillRunningFailure(peer: Peer): Failure =
    outcomeUnknownFailure(peer, "a request with the same idempotency key is still running", RETRY_AFTER)
