package org.nutmegspring.gateway.observe

import org.nutmegspring.evacuation.EvacuationChange
import org.nutmegspring.failure.Failure
import org.nutmegspring.gateway.endpoints.EndpointChange
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.http.ConnectionProbe
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.limits.ColdAllowance
import org.nutmegspring.limits.ColdSource
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.spending.SizingDecision
import kotlin.time.Duration

/** A decision about a request, or a change of the state that decisions rest on. One event is one log line. */
sealed interface DecisionEvent {
    /** Whether the line is dropped first when the log is over its rate. */
    val isRoutine: Boolean get() = false

    /** Whether the line is written even when the log is over its rate. Only for events of which a process has few. */
    val isExempt: Boolean get() = false

    /** The message of the log line. */
    val name: String

    /** The fields of the log line, in order. */
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
        private val basis: DecisionBasis,
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
            "plan" to trace.plan?.let(::planName),
            "placementRule" to trace.plan?.rule?.name?.lowercase(),
            "reader" to trace.plan?.prefillEngine?.id?.value,
            "tokensAhead" to trace.plan?.prefillEngine?.queuedTokens,
            "heldTokens" to trace.plan?.prefillEngine?.cachedTokens,
            "expectedMilliseconds" to trace.plan?.expectedFirstOutputMilliseconds?.toLong(),
            "promptTokens" to trace.promptTokens,
            "prefilledMilliseconds" to trace.prefilledMilliseconds,
            "firstOutputMilliseconds" to trace.firstOutputMilliseconds,
            "elapsedMilliseconds" to trace.elapsedMilliseconds,
            "answerBytes" to trace.answerBytes.takeIf { outcome.isUndelivered },
            "unwrittenBytes" to trace.unwrittenBytes.takeIf { outcome.isUndelivered },
            "stopPhase" to basis.stop?.phase?.name?.lowercase(),
            "stopMilliseconds" to basis.stop?.elapsed?.inWholeMilliseconds,
            "loopDelayMilliseconds" to basis.loopDelay.inWholeMilliseconds.takeIf { outcome.isUndelivered },
            "framing" to trace.framing?.name?.lowercase(),
            "configurationVersion" to basis.configurationVersion,
            "evidenceAgeMilliseconds" to basis.evidenceAge?.inWholeMilliseconds,
        )

        private fun planName(plan: EnginePlan): String = when (plan) {
            is EnginePlan.Direct -> "direct"
            is EnginePlan.Handover -> "handover"
        }
    }

    /** A request was read, and its connection ended before it was handled; [isClosedByCaller] tells who ended it. */
    class RequestUnanswered(
        private val id: RequestId?,
        private val peer: String,
        private val waited: Duration,
        private val isClosedByCaller: Boolean,
        private val basis: DecisionBasis,
    ) : DecisionEvent {
        override val name: String get() = "request unanswered"

        override fun fields(): Map<String, Any?> = mapOf(
            "request" to id?.value,
            "peer" to peer,
            "waitedMilliseconds" to waited.inWholeMilliseconds,
            "closedBy" to if (isClosedByCaller) "caller" else "instance",
            "stopPhase" to basis.stop?.phase?.name?.lowercase(),
            "stopMilliseconds" to basis.stop?.elapsed?.inWholeMilliseconds,
            "loopDelayMilliseconds" to basis.loopDelay.inWholeMilliseconds,
        )
    }

    /** A planned stop began or reached its next phase. */
    class StopProgressed(
        private val progress: StopProgress,
        private val load: CallerLoad,
        private val outcomes: StopOutcomes,
        private val loopDelay: Duration,
    ) : DecisionEvent {
        override val isExempt: Boolean get() = true
        override val name: String get() = "planned stop"

        override fun fields(): Map<String, Any?> = mapOf(
            "stopPhase" to progress.phase.name.lowercase(),
            "stopMilliseconds" to progress.elapsed.inWholeMilliseconds,
            "running" to load.running,
            "connections" to load.connections,
            "receiving" to load.receiving,
            "queued" to load.queued,
            "unwritten" to load.unwritten,
            "delivered" to outcomes.delivered,
            "refused" to outcomes.refused,
            "failed" to outcomes.failed,
            "brokenOff" to outcomes.brokenOff,
            "abandoned" to outcomes.abandoned,
            "unanswered" to outcomes.unanswered,
            "loopDelayMilliseconds" to loopDelay.inWholeMilliseconds,
        )
    }

    /** An attempt to run a request at an endpoint failed. */
    class AttemptFailed(
        private val id: RequestId,
        private val endpoint: EndpointId,
        private val failure: Failure,
        private val elapsedMilliseconds: Long,
        private val interruption: Interruption? = null,
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
            "promptParts" to interruption?.promptParts?.joinToString(","),
            "events" to interruption?.events,
            "endpointProbe" to interruption?.probe?.name?.lowercase(),
        )
    }

    /** Two engines crashed under a prompt part, or it was quarantined or is served again. */
    class PromptPartChanged(
        private val part: PromptPartId,
        private val change: String,
        private val crashes: Int?,
        private val age: Duration,
    ) : DecisionEvent {
        override val name: String get() = "prompt part changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "promptPart" to part.toString(),
            "change" to change,
            "crashes" to crashes,
            "ageMilliseconds" to age.inWholeMilliseconds,
        )
    }

    /** An endpoint named another limit than before, or none any more. */
    class EndpointLimitChanged(
        private val endpoint: EndpointId,
        private val requestsPerSecond: Double?,
        private val previous: Double?,
    ) : DecisionEvent {
        override val name: String get() = "endpoint limit changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "endpoint" to endpoint.value,
            "requestsPerSecond" to requestsPerSecond,
            "previous" to previous,
        )
    }

    /** An endpoint that answers with errors more often than the others is avoided for [duration]. */
    class EndpointFailing(
        private val endpoint: ServingEndpoint,
        private val status: Int,
        private val duration: Duration,
    ) : DecisionEvent {
        override val name: String get() = "endpoint failing"

        override fun fields(): Map<String, Any?> = mapOf(
            "endpoint" to endpoint.id.value,
            "status" to status,
            "avoidedMilliseconds" to duration.inWholeMilliseconds,
        )
    }

    /** An endpoint is treated as cold because of [source], or is not any more when it is null. */
    class EndpointColdChanged(
        private val endpoint: EndpointId,
        private val source: ColdSource?,
        private val allowance: ColdAllowance?,
    ) : DecisionEvent {
        override val name: String get() = "endpoint cold changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "endpoint" to endpoint.value,
            "cold" to (source != null),
            "source" to source?.name?.lowercase(),
            "remainingMilliseconds" to allowance?.remaining?.inWholeMilliseconds,
            "requestsPerSecond" to allowance?.requestsPerSecond,
        )
    }

    /** An endpoint asked in an answer for no new work, or for none within [pause]. */
    class EndpointRestrained(
        private val endpoint: EndpointId,
        private val asked: String,
        private val pause: Duration?,
    ) : DecisionEvent {
        override val name: String get() = "endpoint restrained"

        override fun fields(): Map<String, Any?> = mapOf(
            "endpoint" to endpoint.value,
            "asked" to asked,
            "pauseMilliseconds" to pause?.inWholeMilliseconds,
        )
    }

    /** The endpoint table changed. */
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

    /** A data centre was evacuated, or is no longer; the age is that of the evidence. */
    class EvacuationChanged(private val change: EvacuationChange) : DecisionEvent {
        override val isExempt: Boolean get() = true
        override val name: String get() = "evacuation changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "dataCentre" to change.dataCentre.value,
            "change" to change.kind.name.lowercase(),
            "evidenceAgeMilliseconds" to change.age.inWholeMilliseconds,
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

    /** A dependency stopped answering. */
    class DependencyLost(private val dependency: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "dependency lost"

        override fun fields(): Map<String, Any?> = mapOf("dependency" to dependency, "reason" to reason)
    }

    /** A dependency answers again. */
    class DependencyRegained(private val dependency: String) : DecisionEvent {
        override val name: String get() = "dependency regained"

        override fun fields(): Map<String, Any?> = mapOf("dependency" to dependency)
    }

    /** The store returned from an older copy: what was written there lately may be gone. */
    class StoreRestored(private val previous: StoreEra, private val era: StoreEra) : DecisionEvent {
        override val name: String get() = "store restored"

        override fun fields(): Map<String, Any?> = mapOf("era" to era.value, "previous" to previous.value)
    }

    /** Something was skipped, usually because it could not be decoded, or a task of the instance failed. */
    class Skipped(private val what: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "passed over"

        override fun fields(): Map<String, Any?> = mapOf("what" to what, "reason" to reason)
    }

    /** This instance acquired or lost a duty. */
    class DutyChanged(
        private val duty: String,
        private val isHeld: Boolean,
        private val fencing: FencingToken?,
    ) : DecisionEvent {
        override val name: String get() = "duty changed"

        override fun fields(): Map<String, Any?> =
            mapOf("duty" to duty, "held" to isHeld, "fencing" to fencing?.value)
    }

    /** A call to the platform made under a duty ended. */
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

    /** The target numbers of endpoints of a service changed, or its engines have begun to refuse work. */
    class TargetsChanged(private val service: ServiceId, private val decision: SizingDecision) : DecisionEvent {
        override val name: String get() = "endpoint targets changed"

        override fun fields(): Map<String, Any?> = mapOf(
            "service" to service.value,
            "reason" to decision.reason.name.lowercase(),
            "targets" to decision.targets.entries.joinToString(",") { (dataCentre, target) ->
                "${dataCentre.value}:${target.steady}+${target.interruptible}"
            },
            "requiredEndpoints" to decision.requirement?.total,
            "requiredAfterLoss" to decision.requirement?.afterLoss,
            "promptTokensPerMillisecond" to decision.demand?.promptTokensPerMillisecond?.toLong(),
            "outputSlots" to decision.demand?.outputSlots?.toLong(),
            "refusedShare" to decision.demand?.refusedShare,
            "historyIsComplete" to decision.demand?.isComplete,
        )
    }

    /** The process changed its phase. */
    class PhaseChanged(private val phase: String, private val reason: String) : DecisionEvent {
        override val name: String get() = "phase changed"

        override fun fields(): Map<String, Any?> = mapOf("phase" to phase, "reason" to reason)
    }

    /** What this instance knows of the others, and how old what it knows from the store is. */
    class InstanceStatus(private val status: StatusSnapshot) : DecisionEvent {
        override val name: String get() = "instance status"

        override fun fields(): Map<String, Any?> = mapOf(
            "livePeers" to status.livePeers,
            "registeredPeers" to status.registeredPeers,
            "sentBytes" to status.sentBytes,
            "receivedBytes" to status.receivedBytes,
            "reportBytes" to status.reportBytes,
            "endpointEvidenceAgeMilliseconds" to status.endpointEvidenceAge?.inWholeMilliseconds,
            "longestLoopDelayMilliseconds" to status.longestLoopDelay.inWholeMilliseconds,
        )
    }

    /** Lines were dropped by the rate limit. */
    class LinesDropped(private val count: Long) : DecisionEvent {
        override val name: String get() = "lines dropped"

        override fun fields(): Map<String, Any?> = mapOf("count" to count)
    }
}

/**
 * The state of an instance at one time.
 *
 * @property livePeers the other instances whose last report is valid
 * @property registeredPeers the other instances in the store
 * @property sentBytes bytes of reports sent since the process started
 * @property receivedBytes bytes of reports received since the process started
 * @property reportBytes the size of the last report
 * @property endpointEvidenceAge the age of the evidence that the endpoint table is current, null without evidence
 * @property longestLoopDelay the longest delay of a task on the event loop since the previous snapshot
 */
data class StatusSnapshot(
    val livePeers: Int,
    val registeredPeers: Int,
    val sentBytes: Long,
    val receivedBytes: Long,
    val reportBytes: Int,
    val endpointEvidenceAge: Duration?,
    val longestLoopDelay: Duration,
)
