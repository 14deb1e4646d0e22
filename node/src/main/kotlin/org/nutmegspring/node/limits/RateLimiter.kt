package org.nutmegspring.node.limits

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.TokenCount

/** Limits each organisation to its rate and burst across all instances. */
interface RateLimiter {
    /**
     * Charges [tokens], the maximum that a request can use. The failure of a refusal has a retry-after time if a later
     * attempt can succeed.
     */
    suspend fun charge(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge>
}

/** A charge for one request. */
interface Charge {
    /** Replaces the charged amount by [used], which must not exceed it. Later calls have no effect. */
    fun settle(used: TokenCount)
}
