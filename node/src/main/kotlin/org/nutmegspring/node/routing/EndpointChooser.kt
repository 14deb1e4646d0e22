package org.nutmegspring.node.routing

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import kotlin.time.Duration

/** What is to be run. */
sealed interface Work {
    /** The organisation for which it runs, or null on routes that are open to all. */
    val organisation: OrganisationId?

    /** Whether it may run again after an unknown outcome. */
    val repeatable: Boolean

    /**
     * Text generation.
     *
     * @property pieces chained hashes of the prompt's pieces, first piece first
     * @property maximumOutputTokens the most that it may generate
     */
    data class Generation(
        override val organisation: OrganisationId,
        val model: ModelId,
        val promptTokens: Long,
        val maximumOutputTokens: Long,
        val pieces: List<Long>,
    ) : Work {
        override val repeatable: Boolean get() = true
    }

    /** A call of a plain service. */
    data class ServiceCall(
        override val organisation: OrganisationId?,
        val service: ServiceId,
        override val repeatable: Boolean,
    ) : Work
}

/** An endpoint chosen for some work. The choice counts as load until [finished] is called. */
interface ChosenEndpoint {
    /** The endpoint. */
    val endpoint: EndpointDescription

    /** Tells that the first token, or the answer of a plain service, came after [delay]. */
    fun answered(delay: Duration)

    /** Tells that the work ended. [failed] marks the endpoint as suspect. Later calls do nothing. */
    fun finished(failed: Boolean)
}

/** Chooses endpoints. */
interface EndpointChooser {
    /** Returns the models that some live engine serves. */
    fun models(): Set<ModelId>

    /** Chooses an endpoint for [work] that is not in [exclude]; waits in the admission queue when all are busy. */
    suspend fun choose(work: Work, exclude: Set<EndpointId>): Either<Failure, ChosenEndpoint>
}
