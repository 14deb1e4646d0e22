package org.nutmegspring.gateway.observe

import org.nutmegspring.failure.Failure
import org.nutmegspring.gateway.endpoints.EndpointChange
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.placement.EnginePlan
import kotlin.time.Duration

/** How a request ended. */
enum class RequestOutcome {
    /** The endpoint's answer was delivered. */
    DELIVERED,

    /** The request was refused and did not run. */
    REFUSED,

    /** The request failed; it may have run. */
    FAILED,

    /** The answer broke off after its start. */
    BROKEN_OFF,

    /** The caller left. */
    ABANDONED,
}

/** A decision that touches a request or changes what the process believes. One event is one line of the log. */
sealed interface DecisionEvent {
    /** Whether the line may be left out when there are many. */
    val isRoutine: Boolean get() = false

    /** The name of the event. */
    val name: String

    /** The fields of the line, in order. */
    fun fields(): Map<String, Any?>

    /** A request ended. */
    class RequestEnded(
        private val id: RequestId?,
        private val route: String?,
        private val organisation: OrganisationId?,
        private val outcome: RequestOutcome,
        private val status: Int,
        private val reason: String?,
        private val trace: RequestTrace,
        private val beliefs: Beliefs,
    ) : DecisionEvent {
        override val isRoutine: Boolean get() = outcome == RequestOutcome.DELIVERED
        override val name: String get() = "request ended"

        override fun fields(): Map<String, Any?> = mapOf(
            "request" to id?.value,
            "route" to route,
            "organisation" to organisation?.value,
            "outcome" to outcome.name.lowercase(),
            "status" to status,
            "reason" to reason,
            "endpoints" to trace.endpoints.joinToString(",") { it.value },
            "plan" to trace.plan?.let(::nameOf),
            "reader" to trace.plan?.prefillEngine?.id?.value,
            "tokensAhead" to trace.plan?.prefillEngine?.queuedTokens,
            "heldTokens" to trace.plan?.prefillEngine?.cachedTokens,
            "expectedMilliseconds" to trace.plan?.expectedFirstOutputMilliseconds?.toLong(),
            "promptTokens" to trace.promptTokens,
            "prefilledMilliseconds" to trace.prefilledMilliseconds,
            "firstOutputMilliseconds" to trace.firstOutputMilliseconds,
            "elapsedMilliseconds" to trace.elapsedMilliseconds,
            "configurationVersion" to beliefs.configurationVersion,
            "evidenceAgeMilliseconds" to beliefs.evidenceAge?.inWholeMilliseconds,
        )

        private fun nameOf(plan: EnginePlan): String = when (plan) {
            is EnginePlan.Direct -> "direct"
            is EnginePlan.Handover -> "handover"
        }
    }

    /** A request was not completed by an endpoint. */
    class AttemptFailed(
        private val id: RequestId,
        private val endpoint: EndpointId,
        private val failure: Failure,
        private val elapsedMilliseconds: Long,
    ) : DecisionEvent {
        override val name: String get() = "attempt failed"

        override fun fields(): Map<String, Any?> = mapOf(
            "request" to id.value,
            "endpoint" to endpoint.value,
            "step" to failure.step.name,
            "peer" to failure.peer.value,
            "effect" to failure.effect.name,
            "reason" to failure.message,
            "elapsedMilliseconds" to elapsedMilliseconds,
        )
    }

    /** What is believed of an endpoint changed. */
    class EndpointChanged(
        private val endpoint: ServingEndpoint,
        private val change: EndpointChange,
    ) : DecisionEvent {
        override val name: String get() = "endpoint changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "endpoint" to endpoint.id.value,
            "change" to change.name.lowercase(),
            "service" to endpoint.service.value,
            "address" to endpoint.address,
            "role" to endpoint.role?.name?.lowercase(),
            "state" to endpoint.state.name.lowercase(),
        )
    }

    /** A configuration was applied. */
    class ConfigurationApplied(
        private val version: Long,
        private val previous: Long?,
        private val routes: Int,
        private val organisations: Int,
    ) : DecisionEvent {
        override val name: String get() = "configuration applied"

        override fun fields(): Map<String, Any?> = mapOf(
            "version" to version,
            "previous" to previous,
            "routes" to routes,
            "organisations" to organisations,
        )
    }

    /** A dependency no longer answers. */
    class DependencyLost(private val dependency: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "dependency lost"

        override fun fields(): Map<String, Any?> = mapOf("dependency" to dependency, "reason" to reason)
    }

    /** A dependency answers again. */
    class DependencyRegained(private val dependency: String) : DecisionEvent {
        override val name: String get() = "dependency regained"

        override fun fields(): Map<String, Any?> = mapOf("dependency" to dependency)
    }

    /** Something could not be read and was passed over. */
    class PassedOver(private val what: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "passed over"

        override fun fields(): Map<String, Any?> = mapOf("what" to what, "reason" to reason)
    }

    /** This instance took or lost a duty. */
    class DutyChanged(
        private val duty: String,
        private val isHeld: Boolean,
        private val fencing: FencingToken?,
    ) : DecisionEvent {
        override val name: String get() = "duty changed"

        override fun fields(): Map<String, Any?> =
            mapOf("duty" to duty, "held" to isHeld, "fencing" to fencing?.value)
    }

    /** A call to the platform under a duty ended. */
    class DutyCall(
        private val duty: String,
        private val subject: String,
        private val fencing: FencingToken,
        private val outcome: String,
    ) : DecisionEvent {
        override val name: String get() = "duty call"

        override fun fields(): Map<String, Any?> =
            mapOf("duty" to duty, "subject" to subject, "fencing" to fencing.value, "outcome" to outcome)
    }

    /** The process changed its phase. */
    class PhaseChanged(private val phase: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "phase changed"

        override fun fields(): Map<String, Any?> = mapOf("phase" to phase, "reason" to reason)
    }

    /** Lines were left out. */
    class LinesDropped(private val count: Long) : DecisionEvent {
        override val name: String get() = "lines dropped"

        override fun fields(): Map<String, Any?> = mapOf("count" to count)
    }
}

/** What was believed when a request was decided. */
data class Beliefs(
    val configurationVersion: Long?,
    val evidenceAge: Duration?,
)

/** What happened to a request on its way. */
class RequestTrace {
    /** The endpoints to which it was sent, in order. */
    val endpoints = mutableListOf<EndpointId>()

    /** The first plan for it, null for a plain service. */
    var plan: EnginePlan? = null

    /** Tokens of its prompt, null when it does not tell them. */
    var promptTokens: Int? = null

    /** When the prompt was read by an engine that hands it over, in milliseconds since it was taken up. */
    var prefilledMilliseconds: Long? = null

    /** The time to its first output, in milliseconds. */
    var firstOutputMilliseconds: Long? = null

    /** The time to its end, in milliseconds. */
    var elapsedMilliseconds: Long = 0
}
