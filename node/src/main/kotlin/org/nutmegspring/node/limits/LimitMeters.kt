package org.nutmegspring.node.limits

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** The metrics of rate limiting. */
internal class LimitMeters(private val registry: MeterRegistry) {
    /** Tokens charged. */
    val chargedTokens: Counter = registry.counter("nutmegspring.limits.charged.tokens")

    /** Tokens charged but not used. */
    val unusedTokens: Counter = registry.counter("nutmegspring.limits.unused.tokens")

    /** Refused requests of callers. */
    val refusals: Counter = registry.counter("nutmegspring.limits.refusals")

    /** Grant requests sent to other instances. */
    val requests: Counter = registry.counter("nutmegspring.limits.asks")

    /** Grant requests that were not answered before their timeout. */
    val unansweredRequests: Counter = registry.counter("nutmegspring.limits.asks.unanswered")

    /** Tokens granted to other instances. */
    val grantedTokens: Counter = registry.counter("nutmegspring.limits.granted.tokens")

    /** Registers the gauges of [limits]. */
    fun registerGauges(limits: SharedLimitTable) {
        Gauge.builder("nutmegspring.limits.slots", limits) { it.withTable { now -> activeSlotCount(now) }.toDouble() }
            .register(registry)
        Gauge.builder("nutmegspring.limits.ledgers", limits) { it.withTable { ledgerCount }.toDouble() }
            .register(registry)
    }
}
