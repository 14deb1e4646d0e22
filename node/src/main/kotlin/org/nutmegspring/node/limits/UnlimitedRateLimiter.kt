package org.nutmegspring.node.limits

import arrow.core.Either
import arrow.core.right
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.TokenCount

/** Admits everything. */
class UnlimitedRateLimiter : RateLimiter {
    override suspend fun charge(organisation: OrganisationId, tokens: TokenCount): Either<Failure, Charge> =
        NoCharge.right()

    private object NoCharge : Charge {
        override fun settle(used: TokenCount) = Unit
    }
}
