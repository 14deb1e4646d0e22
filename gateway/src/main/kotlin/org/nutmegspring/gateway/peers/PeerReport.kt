package org.nutmegspring.gateway.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.InstancePhase
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The sender's outstanding work at one endpoint: queued tokens and requests. */
@Serializable
data class EndpointLoadReport(
    val endpoint: EndpointId,
    val waitingTokens: Long,
    val requests: Int,
)

/** A prompt that an engine prefilled for the sender. The lists hold the parts of the prompt in order. */
@Serializable
@SerialName("org.nutmegspring.gateway.peers.PromptReadReport")
data class PrefillReport(
    val engine: EndpointId,
    val chainHashes: List<Long>,
    val tokens: List<Int>,
)

/** The requests that began in one usage window, as counted by one process since its start. */
@Serializable
data class WindowReport(
    val window: Long,
    val counts: Map<OrganisationId, Long>,
)

/** The counts of a process that no longer sends reports, as the sender last received them. */
@Serializable
data class EndedProcessReport(
    val incarnation: Incarnation,
    val windows: List<WindowReport>,
)

/**
 * The report that an instance sends to the others several times a second. Each report is complete in itself, so that a
 * lost one does no harm.
 *
 * @property startedAtMilliseconds when the process started, in milliseconds since the epoch
 * @property sequence increases with each report of one process
 * @property intervalMilliseconds the time until the sender's next report
 * @property evidenceAgeMilliseconds the age of the evidence that its configuration is the newest, null without evidence
 * @property changingEngines engines to which the sender sends orders to change their role
 * @property endedProcesses counts of processes that recently stopped reporting, for instances that started afterwards
 * @property unreachableEndpoints endpoints that do not answer the sender
 * @property charges units charged to each organisation since the process started
 */
@Serializable
data class PeerReport(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val startedAtMilliseconds: Long,
    val sequence: Long,
    val intervalMilliseconds: Long,
    val dataCentre: DataCentreId,
    val callerAddress: String,
    val phase: InstancePhase,
    val configurationVersion: Long,
    val evidenceAgeMilliseconds: Long?,
    val changingEngines: List<EndpointId>,
    val unreachableEndpoints: List<EndpointId>,
    val charges: Map<OrganisationId, Long>,
    val loads: List<EndpointLoadReport>,
    @SerialName("promptsRead")
    val prefills: List<PrefillReport>,
    val windows: List<WindowReport>,
    val endedProcesses: List<EndedProcessReport>,
) {
    /** Returns how long the report is valid: at least [minimum], longer when the interval between reports is long. */
    fun lifetime(minimum: Duration): Duration = maxOf(minimum, intervalMilliseconds.milliseconds * LIFETIME_INTERVALS)
}

/** The lifetime of a report in intervals, so that up to three consecutive reports may be lost. */
private const val LIFETIME_INTERVALS = 4
