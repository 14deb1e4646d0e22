package org.nutmegspring.node.routing

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.nutmegspring.routing.EndpointCounts
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** The metrics of routing and of the admission queue. */
internal class RoutingMetrics(meters: MeterRegistry, counts: () -> EndpointCounts) {
    private val firstAnswer = Timer.builder("nutmegspring.endpoint.first.answer")
        .description("time to the first token or to the answer of a service")
        .publishPercentiles(MEDIAN, NINETY_FIFTH_PERCENTILE)
        .register(meters)
    private val placed = registerAdmissionTimer(meters, "placed")
    private val refused = registerAdmissionTimer(meters, "refused")
    private val failures = meters.counter("nutmegspring.endpoint.requests", "outcome", "failed")
    private val successes = meters.counter("nutmegspring.endpoint.requests", "outcome", "finished")

    init {
        registerGauge(meters, "known") { counts().known }
        registerGauge(meters, "failing") { counts().failing }
        registerGauge(meters, "departing") { counts().departing }
    }

    /** Records that a first token or a service answer arrived after [delay]. */
    fun recordFirstAnswer(delay: Duration) = firstAnswer.record(delay.toJavaDuration())

    /** Counts completed work by its result. */
    fun recordCompletion(failed: Boolean) = if (failed) failures.increment() else successes.increment()

    /** Records the wait of [delay] in the admission queue, which ended with [outcome]. */
    fun recordAdmissionWait(delay: Duration, outcome: PlacementOutcome) = when (outcome) {
        is PlacementOutcome.Placed -> placed.record(delay.toJavaDuration())
        is PlacementOutcome.Refused -> refused.record(delay.toJavaDuration())
    }

    private fun registerAdmissionTimer(meters: MeterRegistry, outcome: String): Timer =
        Timer.builder("nutmegspring.admission.wait")
            .description("time in the admission queue")
            .tag("outcome", outcome)
            .publishPercentiles(MEDIAN, NINETY_FIFTH_PERCENTILE)
            .register(meters)

    private fun registerGauge(meters: MeterRegistry, state: String, count: () -> Int) {
        Gauge.builder("nutmegspring.endpoints") { count() }
            .description("endpoints of the platform's list")
            .tag("state", state)
            .register(meters)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val NINETY_FIFTH_PERCENTILE = 0.95
    }
}
