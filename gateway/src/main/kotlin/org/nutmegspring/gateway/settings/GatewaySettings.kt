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

/** Which instance this is. */
@Serializable
data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
)

/** Where the instance listens, as `host:port` with IP numbers. */
@Serializable
data class AddressSettings(
    /** Requests of callers. */
    val callers: String,
    /** Questions whether the instance is ready. */
    val readiness: String,
    /** Questions of callers for addresses. */
    val directory: String,
    /** Reports of other instances, as datagrams. */
    val exchange: String,
    /** Counters and latencies. */
    val metrics: String,
)

/** Where the platform's services are, as `host:port` with IP numbers. */
@Serializable
data class PlatformSettings(
    /** The object store. */
    val store: String,
    /** The interface for usage reports and orders of endpoints, empty when there is none. */
    val duties: String = "",
)

/** What was agreed with the operators. Times are in the unit that their names say. */
@Serializable
data class BoundSettings(
    /** Whether a key must not be honoured later than the bound after it was taken away, whatever fails. */
    val strictRevocation: Boolean,
    /** How long a key may still be honoured after it was taken away. */
    val revocationMilliseconds: Long,
    /** In which time a configuration is known everywhere. */
    val configurationMilliseconds: Long,
    /** How long a process may take to end after it was told to. */
    val stopSeconds: Double,
    /** Sendings to a further endpoint for each request. */
    val retryRatio: Double,
    /** Such sendings in a window beyond the ratio, over all instances. */
    val retryExtra: Double,
    /** The window for such sendings. */
    val retryWindowSeconds: Double,
    /** The window in which an organisation keeps to its rate and burst. */
    val quotaWindowSeconds: Double,
    /** How long a duty's holder is alone after the last call of another. */
    val leaseMilliseconds: Long,
    /** The length of a usage window; 0 when usage is not reported. */
    val usageWindowSeconds: Double,
    /** In which time after its end a usage window is reported. */
    val usageReportSeconds: Double,
    /** The longest time for which callers keep addresses. */
    val addressKeepSeconds: Int,
) {
    /** The windows in which requests are counted, also when nothing is reported. */
    val usageWindow: Duration get() = (if (usageWindowSeconds > 0) usageWindowSeconds else UNREPORTED_WINDOW).seconds

    private companion object {
        /** As long as the windows that are reported elsewhere; nothing depends on it. */
        const val UNREPORTED_WINDOW = 5.0
    }
}

/** How much is logged. */
@Serializable
data class LogLineSettings(
    /** The most lines in a second. */
    val linesPerSecond: Int = 200,
)
