package org.nutmegspring.gateway.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.nutmegspring.gateway.configuration.Route
import org.nutmegspring.gateway.configuration.RouteKind
import java.util.concurrent.TimeUnit

/** Counters, latencies and gauges of an instance, in the Prometheus format. */
class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = HashMap<RequestKey, Counter>()
    private val latencies = HashMap<String, Timer>()
    private val firstOutputs = HashMap<String, Timer>()
    private val attempts = registry.counter("gateway_attempts_total")

    private data class RequestKey(val kind: String, val outcome: RequestOutcome, val status: Int)

    /** Counts a request that ended. [route] is null if no route matched. */
    fun recordEnd(route: Route?, outcome: RequestOutcome, status: Int, trace: RequestTrace) {
        val kind = kindLabel(route)
        requests.getOrPut(RequestKey(kind, outcome, status)) {
            registry.counter(
                "gateway_requests_total",
                "kind",
                kind,
                "outcome",
                outcome.name.lowercase(),
                "status",
                status.toString(),
            )
        }.increment()
        attempts.increment(trace.endpoints.size.toDouble())
        if (outcome != RequestOutcome.DELIVERED) return
        latencies.getOrPut(kind) { createTimer("gateway_request_seconds", kind) }
            .record(trace.elapsedMilliseconds, TimeUnit.MILLISECONDS)
        val first = trace.firstOutputMilliseconds ?: return
        firstOutputs.getOrPut(kind) { createTimer("gateway_first_output_seconds", kind) }
            .record(first, TimeUnit.MILLISECONDS)
    }

    /** Registers a gauge [name] that reports what [value] returns. */
    fun registerGauge(name: String, value: () -> Double) {
        Gauge.builder(name) { value() }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    @Suppress("SpreadOperator") // Micrometer takes the boundaries as a variable argument list.
    private fun createTimer(name: String, kind: String): Timer = Timer.builder(name)
        .tag("kind", kind)
        .publishPercentileHistogram(false)
        .serviceLevelObjectives(*BOUNDARIES)
        .register(registry)

    private fun kindLabel(route: Route?): String = when (route?.kind) {
        null -> "none"
        RouteKind.Idempotent -> "idempotent"
        RouteKind.NonIdempotent -> "non-idempotent"
        is RouteKind.Streaming -> "streaming"
    }

    private companion object {
        /** Histogram boundaries in milliseconds, chosen around the objectives and timeouts of the routes. */
        val BOUNDARIES = longArrayOf(25, 50, 100, 200, 300, 500, 800, 1500, 3000, 5000)
            .map { java.time.Duration.ofMillis(it) }
            .toTypedArray()
    }
}
