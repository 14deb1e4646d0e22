package org.nutmegspring.gateway.forwarding

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import org.nutmegspring.gateway.configuration.OrganisationDefinition
import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.time.AgeClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why a request is refused before dispatch. It has not run and will not run. */
sealed interface Refusal {
    /** The reason, written to the log and returned to the caller. */
    val reason: String

    /** The request cannot be parsed. */
    data class Malformed(override val reason: String) : Refusal

    /** The request has no key, or one that no organisation holds. */
    data class Unauthenticated(override val reason: String) : Refusal

    /** No route matches. */
    data class NoRoute(override val reason: String) : Refusal

    /** The organisation is over its quota. */
    data class OverQuota(override val reason: String, val retryAfter: Duration) : Refusal

    /** The request can't be served now. */
    data class Unavailable(override val reason: String, val retryAfter: Duration) : Refusal
}

/** A request that passed admission. [organisation] is null on a public route or without organisations. */
class AdmittedRequest(
    val facts: RequestFacts,
    val configuration: ServingConfiguration,
    val route: Route,
    val service: ServiceId,
    val organisation: OrganisationDefinition?,
) {
    /** The urgency of the request; the organisation's urgency overrides the route's. */
    val urgency: Int get() = organisation?.urgency ?: route.urgency

    /** Tokens of prompt and output, or null when the request does not state them. */
    val tokens: Long? get() = facts.prompt?.let { it.promptTokens.toLong() + it.outputTokens }
}

/**
 * Decides whether a request is admitted, from the configuration and the evidence that it is the newest.
 *
 * An unknown key or route is refused permanently only while the freshness evidence is recent; otherwise a newer
 * configuration might contain it, and the refusal asks the caller to retry.
 */
class Admission(
    private val currentConfiguration: CurrentConfiguration,
    private val ages: AgeClock,
    private val random: Random,
    private val isEndpointListBehind: () -> Boolean,
    private val bounds: () -> AdmissionBounds,
) {
    /** Returns the admitted request or the reason for its refusal. Does not charge quotas. */
    fun decide(host: String, path: String, facts: RequestFacts): Either<Refusal, AdmittedRequest> = either {
        val configuration =
            currentConfiguration.configuration
                ?: raise(Refusal.Unavailable("no configuration is known yet", START_RETRY_AFTER))
        if (isEndpointListBehind()) raise(createUnavailable("departures of endpoints may have been missed"))
        if (facts.id == null) raise(Refusal.Malformed("the request has no id"))
        val route =
            configuration.findRoute(host, path) ?: raise(deferIfStale(Refusal.NoRoute("no route for the path")))
        val organisation = when {
            route.isPublic || !configuration.isKeyRequired -> null
            else -> findOrganisation(configuration, facts).bind()
        }
        val service = selectService(route) ?: raise(createUnavailable("the route has no service"))
        AdmittedRequest(facts, configuration, route, service, organisation)
    }

    /** Whether a route is known for [path] at [host]. */
    fun hasRoute(host: String, path: String): Boolean =
        currentConfiguration.configuration?.findRoute(host, path) != null

    private fun findOrganisation(
        configuration: ServingConfiguration,
        facts: RequestFacts,
    ): Either<Refusal, OrganisationDefinition> = either {
        val key = facts.key ?: raise(deferIfStale(Refusal.Unauthenticated("the request has no key")))
        val owner =
            configuration.findOrganisation(key) ?: raise(deferIfStale(Refusal.Unauthenticated("the key is unknown")))
        val limit = bounds().maximumEvidenceAge
        if (limit != null && !currentConfiguration.hasEvidence(limit, ages)) {
            return createUnavailable("it is not proved that the key still holds").left()
        }
        owner
    }

    /** Replaces [refusal] by [Refusal.Unavailable] while the freshness evidence is not recent. */
    private fun deferIfStale(refusal: Refusal): Refusal =
        if (currentConfiguration.hasEvidence(bounds().maximumPropagationDelay, ages)) {
            refusal
        } else {
            createUnavailable("${refusal.reason}, and a newer configuration may exist")
        }

    private fun createUnavailable(reason: String) = Refusal.Unavailable(reason, RETRY_AFTER)

    private fun selectService(route: Route): ServiceId? {
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var drawn = random.nextDouble() * total
        return route.services.firstOrNull { share ->
            drawn -= share.weight
            drawn < 0
        }?.service ?: route.services.last().service
    }

    private companion object {
        /** Short, because another instance may have a newer configuration already. */
        val RETRY_AFTER = 50.milliseconds

        /** About the time that a start takes; when all instances start, callers that return sooner delay it. */
        val START_RETRY_AFTER = 1.seconds
    }
}

/**
 * Bounds on the age of the evidence that the configuration is the newest.
 *
 * @property maximumEvidenceAge the evidence age up to which keys are accepted, null when keys need no evidence
 * @property maximumPropagationDelay the time within which a new configuration must reach every instance
 */
data class AdmissionBounds(
    val maximumEvidenceAge: Duration?,
    val maximumPropagationDelay: Duration,
)
