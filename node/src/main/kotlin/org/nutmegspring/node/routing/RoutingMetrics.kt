package org.nutmegspring.node.routing

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.nutmegspring.routing.EndpointCounts
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** The metrics of routing and admission. */
internal class RoutingMetrics(meters: MeterRegistry, counts: () -> EndpointCounts) {
    private val firstAnswer = Timer.builder("nutmegspring.endpoint.first.answer")
        .description("time to the first token or to the answer of a service")
        .publishPercentiles(MEDIAN, TAIL)
        .register(meters)
    private val placed = admissionTimer(meters, "placed")
    private val refused = admissionTimer(meters, "refused")
    private val failures = meters.counter("nutmegspring.endpoint.requests", "outcome", "failed")
    private val successes = meters.counter("nutmegspring.endpoint.requests", "outcome", "finished")

    init {
        gauge(meters, "known") { counts().known }
        gauge(meters, "failing") { counts().failing }
        gauge(meters, "departing") { counts().departing }
    }

    /** Counts a first answer after [delay]. */
    fun answered(delay: Duration) = firstAnswer.record(delay.toJavaDuration())

    /** Counts the end of some work. */
    fun finished(failed: Boolean) = if (failed) failures.increment() else successes.increment()

    /** Counts [outcome] after a wait of [delay] in the admission queue. */
    fun waited(delay: Duration, outcome: HeldOutcome) = when (outcome) {
        is HeldOutcome.Placed -> placed.record(delay.toJavaDuration())
        is HeldOutcome.Refused -> refused.record(delay.toJavaDuration())
    }

    private fun admissionTimer(meters: MeterRegistry, outcome: String): Timer =
        Timer.builder("nutmegspring.admission.wait")
            .description("time in the admission queue")
            .tag("outcome", outcome)
            .publishPercentiles(MEDIAN, TAIL)
            .register(meters)

    private fun gauge(meters: MeterRegistry, state: String, count: () -> Int) {
        Gauge.builder("nutmegspring.endpoints") { count() }
            .description("endpoints of the platform's list")
            .tag("state", state)
            .register(meters)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val TAIL = 0.95
    }
}
