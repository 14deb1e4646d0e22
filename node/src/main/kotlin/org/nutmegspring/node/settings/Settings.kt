package org.nutmegspring.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId

/** The settings of one instance. `default-settings.yml` holds the defaults and their units. */
@Serializable
data class Settings(
    val instance: InstanceSettings,
    val callers: CallerSettings,
    val inner: InnerSettings,
    val platform: PlatformSettings,
    val generation: GenerationSettings,
    val endpoints: EndpointSettings,
    val administration: AdministrationSettings,
    val logs: LogSettings,
    val traces: TraceSettings,
)

/** Which instance this is. */
@Serializable
data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
)

/** The side that callers use. */
@Serializable
data class CallerSettings(
    val address: String,
    val maximumBodyBytes: Long,
    val maximumAnswerBytes: Long,
    val requestTimeoutSeconds: Int,
    val addressLifetimeSeconds: Int,
)

/** The side that other instances use. */
@Serializable
data class InnerSettings(val address: String)

/** The platform's service. */
@Serializable
data class PlatformSettings(
    val address: String,
    val timeoutMilliseconds: Long,
)

/** Bounds of text generation. */
@Serializable
data class GenerationSettings(
    val defaultMaximumTokens: Long,
    val largestMaximumTokens: Long,
)

/** Calls of endpoints. */
@Serializable
data class EndpointSettings(
    val connectTimeoutMilliseconds: Long,
    val silenceTimeoutMilliseconds: Long,
    val listIntervalMilliseconds: Long,
)

/** Who may use the administration API. */
@Serializable
data class AdministrationSettings(val operators: List<OperatorSettings>)

/** One operator. [tokenHash] is the SHA-256 digest of the bearer token in hexadecimal. */
@Serializable
data class OperatorSettings(
    val name: String,
    val tokenHash: String,
)

/** How logs are written. */
@Serializable
data class LogSettings(
    val format: LogFormat,
    val level: LogLevel,
)

/** The form of a log line. */
@Serializable
enum class LogFormat {
    /** A line for people. */
    @SerialName("text")
    TEXT,

    /** A JSON object. */
    @SerialName("json")
    JSON,
}

/** The least severity that is logged. */
@Serializable
enum class LogLevel {
    /** Errors only. */
    @SerialName("error")
    ERROR,

    /** Warnings and errors. */
    @SerialName("warn")
    WARN,

    /** Also what operators usually want to see. */
    @SerialName("info")
    INFO,

    /** Everything. */
    @SerialName("debug")
    DEBUG,
}

/** Where traces go. */
@Serializable
data class TraceSettings(
    val exporter: TraceExporter,
    val address: String,
)

/** The receiver of traces. */
@Serializable
enum class TraceExporter {
    /** Traces are dropped. */
    @SerialName("none")
    NONE,

    /** Each span is a log line. */
    @SerialName("log")
    LOG,

    /** Spans go to an OTLP collector. */
    @SerialName("otlp")
    OTLP,
}
