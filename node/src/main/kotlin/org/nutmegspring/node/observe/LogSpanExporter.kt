package org.nutmegspring.node.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter

private val logger = KotlinLogging.logger("org.nutmegspring.span")
private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/** Exports each span as a structured log line. */
internal class LogSpanExporter : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { span ->
            logger.atInfo {
                message = "span"
                payload = createFields(span)
            }
        }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun createFields(span: SpanData): Map<String, Any> {
        val attributes = span.attributes.asMap().entries.associate { (key, value) -> key.key to value }
        return attributes + mapOf(
            "span" to span.name,
            "trace" to span.traceId,
            "id" to span.spanId,
            "parent" to span.parentSpanId,
            "microseconds" to (span.endEpochNanos - span.startEpochNanos) / NANOSECONDS_PER_MICROSECOND,
        )
    }
}
