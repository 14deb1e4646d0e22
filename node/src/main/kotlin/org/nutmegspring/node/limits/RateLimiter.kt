package org.nutmegspring.node.limits

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.TokenCount

/** Keeps each organisation within its rate and burst over all instances. */
interface RateLimiter {
    /** Charges [tokens], the most that a request can use, or refuses with the time after which to come back. */
    suspend fun charge(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge>
}

/** A charge for one request. */
interface Charge {
    /** Replaces the charged amount by what was used, which is at most what was charged. Later calls do nothing. */
    fun settle(used: TokenCount)
}
