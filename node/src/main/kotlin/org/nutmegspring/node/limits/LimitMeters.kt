package org.nutmegspring.node.limits

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** The metrics of the limits. */
internal class LimitMeters(private val registry: MeterRegistry) {
    /** Tokens that were charged. */
    val chargedTokens: Counter = registry.counter("nutmegspring.limits.charged.tokens")

    /** Tokens that were charged and not used. */
    val unusedTokens: Counter = registry.counter("nutmegspring.limits.unused.tokens")

    /** Requests that were refused. */
    val refusals: Counter = registry.counter("nutmegspring.limits.refusals")

    /** Asks for tokens sent to other instances. */
    val asks: Counter = registry.counter("nutmegspring.limits.asks")

    /** Asks that were not answered in time. */
    val unansweredAsks: Counter = registry.counter("nutmegspring.limits.asks.unanswered")

    /** Tokens granted to other instances. */
    val grantedTokens: Counter = registry.counter("nutmegspring.limits.granted.tokens")

    /** Adds the gauges of [limits]. */
    fun bind(limits: SharedLimitTable) {
        Gauge.builder("nutmegspring.limits.slots", limits) { it.use { now -> activeSlotCount(now) }.toDouble() }
            .register(registry)
        Gauge.builder("nutmegspring.limits.ledgers", limits) { it.use { ledgerCount }.toDouble() }.register(registry)
    }
}
