package org.nutmegspring.gateway.forwarding

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import org.nutmegspring.gateway.configuration.OrganisationDefinition
import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why a request is turned away before it is sent anywhere. It has not run and never will. */
sealed interface Refusal {
    /** The reason, for the log and the caller. */
    val reason: String

    /** The request can't be read. */
    data class Malformed(override val reason: String) : Refusal

    /** The request has no key, or one that no organisation holds. */
    data class Unauthenticated(override val reason: String) : Refusal

    /** No route matches. */
    data class NoRoute(override val reason: String) : Refusal

    /** The organisation is over its quota. */
    data class OverQuota(override val reason: String, val comeBackAfter: Duration) : Refusal

    /** The request can't be served now. */
    data class Unavailable(override val reason: String, val comeBackAfter: Duration) : Refusal
}

/** A request that may be sent on. [organisation] is null on a public route or without organisations. */
class AdmittedRequest(
    val facts: RequestFacts,
    val configuration: ServingConfiguration,
    val route: Route,
    val service: ServiceId,
    val organisation: OrganisationDefinition?,
) {
    /** The rank of the request; that of the organisation goes first. */
    val urgency: Int get() = organisation?.urgency ?: route.urgency

    /** Tokens of prompt and output, or null when the request does not tell them. */
    val tokens: Long? get() = facts.prompt?.let { it.promptTokens.toLong() + it.outputTokens }
}

/**
 * Decides whether a request may be sent on, from the configuration and the proof that it is the newest.
 *
 * An unknown key or route is refused for good only while the configuration is proved to be young; otherwise a newer
 * one might know it.
 */
class Admission(
    private val current: CurrentConfiguration,
    private val clock: MonotonicClock,
    private val random: Random,
    private val bounds: () -> AdmissionBounds,
) {
    /** Returns the request as admitted, or why it is turned away. Quotas are not charged here. */
    fun decide(host: String, path: String, facts: RequestFacts): Either<Refusal, AdmittedRequest> = either {
        val configuration = current.configuration ?: raise(unavailable("no configuration is known yet"))
        if (facts.id == null) raise(Refusal.Malformed("the request has no id"))
        val route = configuration.route(host, path) ?: raise(unknown(Refusal.NoRoute("no route for the path")))
        val organisation = when {
            route.isPublic || !configuration.needsKeys -> null
            else -> organisation(configuration, facts).bind()
        }
        val service = service(route) ?: raise(unavailable("the route has no service"))
        AdmittedRequest(facts, configuration, route, service, organisation)
    }

    private fun organisation(
        configuration: ServingConfiguration,
        facts: RequestFacts,
    ): Either<Refusal, OrganisationDefinition> = either {
        val key = facts.key ?: raise(unknown(Refusal.Unauthenticated("the request has no key")))
        val owner = configuration.organisation(key) ?: raise(unknown(Refusal.Unauthenticated("the key is unknown")))
        val limit = bounds().longestEvidenceAge
        if (limit != null && !current.evidence.isYoungerThan(limit, clock.now())) {
            return unavailable("it is not proved that the key still holds").left()
        }
        owner
    }

    private fun unknown(refusal: Refusal): Refusal =
        if (current.evidence.isYoungerThan(bounds().knownEverywhereWithin, clock.now())) {
            refusal
        } else {
            unavailable("${refusal.reason}, and a newer configuration may exist")
        }

    private fun unavailable(reason: String) = Refusal.Unavailable(reason, RETRY_ELSEWHERE)

    private fun service(route: Route): ServiceId? {
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var drawn = random.nextDouble() * total
        return route.services.firstOrNull { share ->
            drawn -= share.weight
            drawn < 0
        }?.service ?: route.services.last().service
    }

    private companion object {
        /** Another instance may know better at once. */
        val RETRY_ELSEWHERE = 50.milliseconds
    }
}

/**
 * Bounds on the age of the proof that the configuration is the newest.
 *
 * @property longestEvidenceAge the age up to which keys are honoured, null when keys need no proof
 * @property knownEverywhereWithin the time in which a new configuration has to be known by every instance
 */
data class AdmissionBounds(
    val longestEvidenceAge: Duration?,
    val knownEverywhereWithin: Duration,
)
