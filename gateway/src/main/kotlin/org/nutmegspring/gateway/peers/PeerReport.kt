package org.nutmegspring.gateway.peers

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.membership.InstancePhase
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The work of the sender at one endpoint. */
@Serializable
data class EndpointLoadReport(
    val endpoint: EndpointId,
    val waitingTokens: Long,
    val requests: Int,
)

/** A prompt that the sender had an engine read. The lists hold the parts in order. */
@Serializable
data class PromptReadReport(
    val engine: EndpointId,
    val chainHashes: List<Long>,
    val tokens: List<Int>,
)

/** Requests that began to run in one usage window, as counted by the sender since it started. */
@Serializable
data class WindowReport(
    val window: Long,
    val counts: Map<OrganisationId, Long>,
)

/** Counts of a process that no longer tells them itself, as the sender heard them. */
@Serializable
data class EndedProcessReport(
    val incarnation: Incarnation,
    val windows: List<WindowReport>,
)

/**
 * What an instance tells the others several times a second. Each message stands for itself, so a lost one does no harm.
 *
 * @property startedAtMilliseconds when the process started, in milliseconds since the epoch
 * @property sequence numbers the reports of one process
 * @property intervalMilliseconds the time until the sender's next report
 * @property evidenceAgeMilliseconds how old the proof is that its configuration is the newest, null without one
 * @property changingEngines engines whose change of role the sender orders
 * @property endedProcesses counts of processes that fell silent lately, for instances that started after them
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
    val promptsRead: List<PromptReadReport>,
    val windows: List<WindowReport>,
    val endedProcesses: List<EndedProcessReport>,
) {
    /** How long what the report tells is believed: [least], or longer where reports are rare. */
    fun lifetime(least: Duration): Duration = maxOf(least, intervalMilliseconds.milliseconds * LIFETIME_INTERVALS)
}

/** Reports that may be lost in a row before what was told is forgotten. */
private const val LIFETIME_INTERVALS = 4
