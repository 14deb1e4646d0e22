package org.nutmegspring.gateway.settings

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The settings of one instance of the gateway. */
@Serializable
data class GatewaySettings(
    val instance: InstanceSettings,
    val addresses: AddressSettings,
    val platform: PlatformSettings,
    val bounds: BoundSettings,
    val logs: LogLineSettings = LogLineSettings(),
    val memory: MemorySettings = MemorySettings(),
    val spending: SpendingSettings = SpendingSettings(),
)

/** The identity of the instance. */
@Serializable
data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    /** The bandwidth of the link that carries all traffic of the instance, null when it is not known. */
    val linkMegabitsPerSecond: Double? = null,
)

/** Addresses on which the instance listens, as `host:port` with IP addresses. */
@Serializable
data class AddressSettings(
    /** Requests of callers. */
    val callers: String,
    /** Readiness checks. */
    val readiness: String,
    /** Requests of callers for the addresses of instances. */
    val directory: String,
    /** Reports of other instances, as datagrams. */
    val exchange: String,
    /** Metrics: counters and latencies. */
    val metrics: String,
)

/** Addresses of the platform's services, as `host:port` with IP addresses. */
@Serializable
data class PlatformSettings(
    /** The object store. */
    val store: String,
    /** The interface for usage reports and endpoint orders, null or empty when there is none. */
    val duties: String? = null,
)

/**
 * Bounds agreed with the operators. Each name states the unit.
 *
 * A nullable bound may have no value: the deployment does not have it, and what depends on it is off. The key itself
 * must be there, so that a file that is read while it is being written is not taken for a whole one.
 */
@Serializable
data class BoundSettings(
    /** Whether a revoked key must be refused once the bound has passed, even during failures; null means false. */
    val strictRevocation: Boolean?,
    /** How long a key may still be accepted after its revocation. Required where the revocation is strict. */
    val revocationMilliseconds: Long?,
    /** The time within which a configuration reaches all instances. */
    val configurationMilliseconds: Long,
    /** How long an endpoint may still get requests after the store has accepted its departure. */
    val departureMilliseconds: Long,
    /** How long a process may take to stop after it was told to. */
    val stopSeconds: Double,
    /** Retries at another endpoint allowed for each request; null without a retry budget. */
    val retryRatio: Double?,
    /** Retries allowed in a window beyond the ratio, over all instances; null means none. */
    val retryExtra: Double?,
    /** The window in which retries are counted; null without a retry budget. */
    val retryWindowSeconds: Double?,
    /** The window over which the rate and burst of an organisation are enforced; null when quotas are not enforced. */
    val quotaWindowSeconds: Double?,
    /**
     * The lease duration: how long the holder of the duties is alone after the last call of another instance. Without a
     * lease no instance carries out duties.
     */
    val leaseMilliseconds: Long?,
    /** The length of a usage window, null or 0 when usage is not reported. */
    val usageWindowSeconds: Double?,
    /** The time after its end within which a usage window is reported; null when usage is not reported. */
    val usageReportSeconds: Double?,
    /** The maximum time for which callers may cache addresses; null without a maximum. */
    val addressKeepSeconds: Int?,
    /** How long endpoints of a data centre may still get requests after its evacuation; null without evacuations. */
    val evacuationMilliseconds: Long? = null,
    /** The factor by which the request rate of a cold endpoint may exceed its own; null without cold endpoints. */
    val coldOverage: Double? = null,
    /** Requests per second that a cold endpoint may get beyond its rate and [coldOverage]; null means none. */
    val coldSlack: Double? = null,
) {
    /** The length of the windows in which requests are counted, even when usage is not reported. */
    val usageWindow: Duration
        get() = (usageWindowSeconds?.takeIf { it > 0 } ?: DEFAULT_WINDOW_SECONDS).seconds

    private companion object {
        /** The window length used by deployments that report usage; nothing depends on it. */
        const val DEFAULT_WINDOW_SECONDS = 5.0
    }
}

/** The rate limit of the log. */
@Serializable
data class LogLineSettings(
    /** The maximum number of log lines per second. */
    val linesPerSecond: Int = 200,
)

/** What callers may make the instance hold. */
@Serializable
data class MemorySettings(
    /** The estimated bytes that all connections of callers may hold together, null for three eighths of the heap. */
    val callerBytes: Long? = null,
    /** The connections of callers that may be open, null for a number that the heap and the descriptors allow. */
    val connections: Int? = null,
)

/** How endpoints are ordered. */
@Serializable
data class SpendingSettings(
    /**
     * Whether the numbers of endpoints follow the demand where the configuration has prices; the whole range is ordered
     * otherwise. Days of less than a minute save nothing by it, and endpoints that are released lose their caches.
     */
    val followsDemand: Boolean = false,
)
