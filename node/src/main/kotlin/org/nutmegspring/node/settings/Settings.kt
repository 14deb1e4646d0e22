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

/** The identity of this instance. */
@Serializable
data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
)

/** The HTTP API for callers. */
@Serializable
data class CallerSettings(
    val address: String,
    val maximumBodyBytes: Long,
    val maximumAnswerBytes: Long,
    val requestTimeoutSeconds: Int,
    val addressLifetimeSeconds: Int,
)

/** The server for requests from other instances. */
@Serializable
data class InnerSettings(val address: String)

/** The connection to the platform. */
@Serializable
data class PlatformSettings(
    val address: String,
    val timeoutMilliseconds: Long,
)

/** Limits of text generation. */
@Serializable
data class GenerationSettings(
    val defaultMaximumTokens: Long,
    val largestMaximumTokens: Long,
)

/** Connections to endpoints and polling of their list. */
@Serializable
data class EndpointSettings(
    val connectTimeoutMilliseconds: Long,
    val silenceTimeoutMilliseconds: Long,
    val listIntervalMilliseconds: Long,
)

/** Access to the administration API. */
@Serializable
data class AdministrationSettings(val operators: List<OperatorSettings>)

/** One operator. [tokenHash] is the SHA-256 digest of the bearer token in hexadecimal. */
@Serializable
data class OperatorSettings(
    val name: String,
    val tokenHash: String,
)

/** Log output. */
@Serializable
data class LogSettings(
    val format: LogFormat,
    val level: LogLevel,
)

/** The format of a log line. */
@Serializable
enum class LogFormat {
    /** Human-readable text. */
    @SerialName("text")
    TEXT,

    /** A JSON object. */
    @SerialName("json")
    JSON,
}

/** The minimum severity that is logged. */
@Serializable
enum class LogLevel {
    /** Errors only. */
    @SerialName("error")
    ERROR,

    /** Warnings and errors. */
    @SerialName("warn")
    WARN,

    /** Errors, warnings and informational messages. */
    @SerialName("info")
    INFO,

    /** All messages down to debug. */
    @SerialName("debug")
    DEBUG,
}

/** Trace export. */
@Serializable
data class TraceSettings(
    val exporter: TraceExporter,
    val address: String,
)

/** The exporter of traces. */
@Serializable
enum class TraceExporter {
    /** Traces are discarded. */
    @SerialName("none")
    NONE,

    /** Each span is written as a log line. */
    @SerialName("log")
    LOG,

    /** Spans are sent to an OTLP collector. */
    @SerialName("otlp")
    OTLP,
}
