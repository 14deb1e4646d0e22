package org.nutmegspring.node.limits

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.limits.SlotHolder
import org.nutmegspring.limits.limitTable
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.time.MonotonicClock

/**
 * What the limits need of the rest of the instance.
 *
 * @property configuration holds the rate and burst of each organisation
 */
class LimiterParts(
    val self: SlotHolder,
    val configuration: StateFlow<Configuration>,
    val network: InnerNetwork,
    val store: ObjectStore,
    val lists: PlatformLists,
    val meters: MeterRegistry,
    val clock: MonotonicClock,
)

/** Returns the rate limiter of an instance. It must be started. */
fun sharedRateLimiter(parts: LimiterParts, settings: LimitSettings = LimitSettings()): SharedRateLimiter {
    val meters = LimitMeters(parts.meters)
    val limits = SharedLimitTable(limitTable(settings, SHARDS, parts.self), parts.configuration, parts.clock)
    meters.bind(limits)
    val exchange = GrantExchange(limits, parts.self.incarnation, parts.network, SHARDS, meters)
    parts.network.addHandler(exchange)
    val slots = SlotDuty(limits, settings, SHARDS, parts.store, parts.lists, parts.clock)
    return SharedRateLimiter(limits, exchange, slots, meters)
}

/** Into how many shards the organisations are divided. All instances must agree on it for the life of the fleet. */
private const val SHARDS = 16
