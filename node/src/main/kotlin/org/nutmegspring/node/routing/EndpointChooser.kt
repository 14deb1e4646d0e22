package org.nutmegspring.node.routing

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import kotlin.time.Duration

/** Work for which an endpoint is to be chosen. */
sealed interface Work {
    /** The organisation on whose behalf the work runs, or null for a service that is open to all. */
    val organisation: OrganisationId?

    /** Whether the work may be retried after an unknown outcome. */
    val isRepeatable: Boolean

    /**
     * Text generation.
     *
     * @property maximumOutputTokens the maximum number of generated tokens
     * @property pieces chained hashes of the prompt's pieces, in prompt order
     */
    data class Generation(
        override val organisation: OrganisationId,
        val model: ModelId,
        val promptTokens: Long,
        val maximumOutputTokens: Long,
        val pieces: List<Long>,
    ) : Work {
        override val isRepeatable: Boolean get() = true
    }

    /** A call to a plain service. */
    data class ServiceCall(
        override val organisation: OrganisationId?,
        val service: ServiceId,
        override val isRepeatable: Boolean,
    ) : Work
}

/** An endpoint chosen for some work. The work counts as load of the endpoint until [recordCompletion] is called. */
interface ChosenEndpoint {
    /** The chosen endpoint. */
    val endpoint: EndpointDescription

    /** Records that the first token, or the answer of a plain service, arrived after [delay]. */
    fun recordFirstAnswer(delay: Duration)

    /** Records that the work ended. [failed] counts against the endpoint's health. Further calls have no effect. */
    fun recordCompletion(failed: Boolean)
}

/** Chooses the endpoint to which each piece of work is sent. */
interface EndpointChooser {
    /** Returns the models that at least one engine runs. */
    fun runningModels(): Set<ModelId>

    /**
     * Chooses an endpoint for [work] that is not in [excluded]. A generation waits in the admission queue while no
     * engine can meet its latency objectives.
     */
    suspend fun choose(work: Work, excluded: Set<EndpointId>): Either<Failure, ChosenEndpoint>
}
