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
)

/** The identity of the instance. */
@Serializable
data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    /** The bandwidth of the link that carries all traffic of the instance. */
    val linkMegabitsPerSecond: Double = DEFAULT_LINK_MEGABITS_PER_SECOND,
) {
    private companion object {
        const val DEFAULT_LINK_MEGABITS_PER_SECOND = 1000.0
    }
}

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
    /** The interface for usage reports and endpoint orders, empty when there is none. */
    val duties: String = "",
)

/** Bounds agreed with the operators. Each name states the unit. */
@Serializable
data class BoundSettings(
    /** Whether a revoked key must be refused once the bound has passed, even during failures. */
    val strictRevocation: Boolean,
    /** How long a key may still be accepted after its revocation. */
    val revocationMilliseconds: Long,
    /** The time within which a configuration reaches all instances. */
    val configurationMilliseconds: Long,
    /** How long an endpoint may still get requests after the store has accepted its departure. */
    val departureMilliseconds: Long,
    /** How long a process may take to stop after it was told to. */
    val stopSeconds: Double,
    /** Retries at another endpoint allowed for each request. */
    val retryRatio: Double,
    /** Retries allowed in a window beyond the ratio, over all instances. */
    val retryExtra: Double,
    /** The window in which retries are counted. */
    val retryWindowSeconds: Double,
    /** The window over which the rate and burst of an organisation are enforced. */
    val quotaWindowSeconds: Double,
    /** The lease duration: how long the holder of the duties is alone after the last call of another instance. */
    val leaseMilliseconds: Long,
    /** The length of a usage window, 0 when usage is not reported. */
    val usageWindowSeconds: Double,
    /** The time after its end within which a usage window is reported. */
    val usageReportSeconds: Double,
    /** The maximum time for which callers may cache addresses. */
    val addressKeepSeconds: Int,
) {
    /** The length of the windows in which requests are counted, even when usage is not reported. */
    val usageWindow: Duration
        get() = (if (usageWindowSeconds > 0) usageWindowSeconds else DEFAULT_WINDOW_SECONDS).seconds

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
