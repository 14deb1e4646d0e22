package org.nutmegspring.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.membership.InstancePhase
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The sender's outstanding work at one endpoint: queued tokens and requests. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EndpointLoadReport(
    @CborLabel(1) val endpoint: EndpointId,
    @CborLabel(2) val waitingTokens: Long = 0,
    @CborLabel(3) val requests: Int = 0,
)

/** A prompt that an engine prefilled for the sender. The lists hold the parts of the prompt in order. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PrefillReport(
    @CborLabel(1) val engine: EndpointId,
    @CborLabel(2) val chainHashes: List<Long>,
    @CborLabel(3) val tokens: List<Int>,
)

/** The requests that began in one usage window, as counted by one process since its start. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class WindowReport(
    @CborLabel(1) val window: Long,
    @CborLabel(2) val counts: Map<OrganisationId, Long>,
)

/** The counts of a process that no longer sends reports, as the sender last received them. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EndedProcessReport(
    @CborLabel(1) val incarnation: Incarnation,
    @CborLabel(2) val windows: List<WindowReport>,
)

/**
 * What the fleet charged in the quota window, as the sender knows it.
 *
 * @property coverageMilliseconds how far back the sender knows it, at most the window
 * @property units units by organisation in equal parts of the window, the newest first; none for organisations left out
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ChargeHistoryReport(
    @CborLabel(1) val coverageMilliseconds: Long,
    @CborLabel(2) val units: Map<OrganisationId, List<Long>>,
)

/** What the sender knows of a prompt part under which engines crashed. Ages are in milliseconds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PromptPartEntry(
    @CborLabel(1) val part: PromptPartId,
    @CborLabel(2) val depth: Int,
    @CborLabel(3) val crashAges: Map<Long, Long> = emptyMap(),
    @CborLabel(4) val completionAge: Long? = null,
    @CborLabel(5) val quarantineAge: Long? = null,
    @CborLabel(6) val requestAge: Long? = null,
)

/** What an answer of [endpoint] told the sender of its limit, null for none, [ageMilliseconds] ago. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EndpointLimitReport(
    @CborLabel(1) val endpoint: EndpointId,
    @CborLabel(2) val requestsPerSecond: Double?,
    @CborLabel(3) val ageMilliseconds: Long,
)

/** The lasting speed of [endpoint] as the sender observed it: [workTimePercent] is 100 at the nominal speed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EndpointSpeedReport(
    @CborLabel(1) val endpoint: EndpointId,
    @CborLabel(2) val workTimePercent: Int,
)

/**
 * What the sender knows of the cold time of an endpoint. Ages and times are in milliseconds.
 *
 * @property bornAt the process of the endpoint, null when its entry names none
 * @property remaining how long the endpoint stays cold, 0 if it is not cold any more
 * @property age how long ago the sender learnt it
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ColdEndpointReport(
    @CborLabel(1) val endpoint: EndpointId,
    @CborLabel(2) val bornAt: Long?,
    @CborLabel(3) val remaining: Long,
    @CborLabel(4) val age: Long,
)

/** What the sender was asked for since its process started, for one service. See `DemandCounts`. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class DemandReport(
    @CborLabel(1) val service: ServiceId,
    @CborLabel(2) val promptTokens: Long = 0,
    @CborLabel(3) val outputMilliseconds: Long = 0,
    @CborLabel(4) val refusedTokens: Long = 0,
)

/**
 * The report that an instance sends to the others several times in a few seconds. What a lost report told is told again
 * by a later one.
 *
 * @property startedAtMilliseconds when the process started, in milliseconds since the epoch
 * @property sequence increases with each report of one process
 * @property intervalMilliseconds the time until the sender's next report
 * @property evidenceAgeMilliseconds the age of the evidence that its configuration is the newest, null without evidence
 * @property isDutyHolder whether the sender holds the duties
 * @property changingEngines engines to which the sender sends orders to change their role
 * @property unreachableEndpoints endpoints that do not answer the sender, or answer it with errors
 * @property charges units charged since the process started, of some organisations; those of the others are unchanged
 * @property windows counts of requests; only instances that take part in the duties receive them
 * @property promptParts prompt parts under which engines crashed, told again until they expire
 * @property limits the limits that endpoints named, and those that they have lifted lately
 * @property storeEra the era of the platform's store
 * @property storeEraAgeMilliseconds for how long the sender knows that this era has lasted
 * @property endedProcesses counts of processes that recently stopped reporting, for instances that started afterwards
 * @property chargeCoverageMilliseconds how far back the sender knows what the fleet charged, null for the quota window
 * @property chargeHistory what the fleet charged; only instances that have just started receive it
 * @property speeds the lasting speeds of some endpoints, which the others use until they have observed them
 * @property coldEndpoints endpoints that are cold, and those that were until lately
 * @property hasTraffic whether the sender knows that some instance has sent a request to an endpoint
 * @property demands demand by service; only instances that take part in the duties receive it
 * @property demandElapsedMilliseconds the time from the start of the process until [demands] were counted
 * @property runningForMilliseconds the time since the process started by its monotonic clock, null from a version that
 * does not tell it
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerReport(
    @CborLabel(1) val instance: InstanceId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val startedAtMilliseconds: Long,
    @CborLabel(4) val sequence: Long,
    @CborLabel(5) val intervalMilliseconds: Long,
    @CborLabel(6) val phase: InstancePhase,
    @CborLabel(7) val configurationVersion: Long = 0,
    @CborLabel(8) val evidenceAgeMilliseconds: Long? = null,
    @CborLabel(9) val isDutyHolder: Boolean = false,
    @CborLabel(10) val changingEngines: List<EndpointId> = emptyList(),
    @CborLabel(11) val unreachableEndpoints: List<EndpointId> = emptyList(),
    @CborLabel(12) val charges: Map<OrganisationId, Long> = emptyMap(),
    @CborLabel(13) val loads: List<EndpointLoadReport> = emptyList(),
    @CborLabel(14) val prefills: List<PrefillReport> = emptyList(),
    @CborLabel(15) val windows: List<WindowReport> = emptyList(),
    @CborLabel(16) val endedProcesses: List<EndedProcessReport> = emptyList(),
    @CborLabel(17) val promptParts: List<PromptPartEntry> = emptyList(),
    @CborLabel(18) val limits: List<EndpointLimitReport> = emptyList(),
    @CborLabel(19) val storeEra: Long = 0,
    @CborLabel(20) val storeEraAgeMilliseconds: Long = 0,
    @CborLabel(21) val chargeCoverageMilliseconds: Long? = null,
    @CborLabel(22) val chargeHistory: ChargeHistoryReport? = null,
    @CborLabel(23) val coldEndpoints: List<ColdEndpointReport> = emptyList(),
    @CborLabel(24) val hasTraffic: Boolean = false,
    @CborLabel(25) val speeds: List<EndpointSpeedReport> = emptyList(),
    @CborLabel(26) val demands: List<DemandReport> = emptyList(),
    @CborLabel(27) val demandElapsedMilliseconds: Long = 0,
    @CborLabel(28) val runningForMilliseconds: Long? = null,
) {
    /**
     * Returns how long the report is valid: at least [minimum], and [intervals] times the interval between reports. By
     * default, up to three consecutive reports may be lost.
     */
    fun lifetime(minimum: Duration, intervals: Int = DEFAULT_LIFETIME_INTERVALS): Duration =
        maxOf(minimum, intervalMilliseconds.milliseconds * intervals)
}

private const val DEFAULT_LIFETIME_INTERVALS = 4
