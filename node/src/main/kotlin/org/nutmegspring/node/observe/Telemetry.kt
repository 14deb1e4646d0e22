package org.nutmegspring.node.observe

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.propagation.ContextPropagators
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.settings.TraceExporter
import org.nutmegspring.node.settings.TraceSettings

/** The metrics registry and the tracing setup of one instance. */
class Telemetry internal constructor(
    /** The registry of all metrics, scraped in the Prometheus format. */
    val meters: PrometheusMeterRegistry,
    private val openTelemetry: OpenTelemetrySdk,
) : AutoCloseable {
    /** The tracer for the spans of this instance. */
    val tracer: Tracer = openTelemetry.getTracer("nutmegspring")

    /** Reads and writes W3C trace contexts in request headers. */
    val propagators: ContextPropagators = openTelemetry.propagators

    override fun close() {
        openTelemetry.close()
        meters.close()
    }
}

/** Returns the telemetry of [instance], which exports spans as configured in [traces]. */
fun createTelemetry(instance: InstanceId, traces: TraceSettings): Telemetry {
    val provider = SdkTracerProvider.builder()
        .setResource(Resource.getDefault().merge(Resource.create(createResourceAttributes(instance))))
    when (traces.exporter) {
        TraceExporter.NONE -> Unit

        TraceExporter.LOG -> provider.addSpanProcessor(SimpleSpanProcessor.create(LogSpanExporter()))

        TraceExporter.OTLP -> provider.addSpanProcessor(
            BatchSpanProcessor.builder(createOtlpExporter(traces.address)).build(),
        )
    }
    val openTelemetry = OpenTelemetrySdk.builder()
        .setTracerProvider(provider.build())
        .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
        .build()
    return Telemetry(PrometheusMeterRegistry(PrometheusConfig.DEFAULT), openTelemetry)
}

private fun createOtlpExporter(address: String) = OtlpGrpcSpanExporter.builder().setEndpoint(address).build()

private fun createResourceAttributes(instance: InstanceId): Attributes =
    Attributes.builder().put("service.name", "nutmegspring").put("service.instance.id", instance.value).build()
