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
 * The dependencies of the rate limiter.
 *
 * @property configuration contains the rate and burst of each organisation
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

/** Creates the rate limiter of an instance. The caller must start it. */
fun createSharedRateLimiter(parts: LimiterParts, settings: LimitSettings = LimitSettings()): SharedRateLimiter {
    val meters = LimitMeters(parts.meters)
    val limits = SharedLimitTable(limitTable(settings, SHARD_COUNT, parts.self), parts.configuration, parts.clock)
    meters.registerGauges(limits)
    val exchange = GrantExchange(limits, parts.self.incarnation, parts.network, SHARD_COUNT, meters)
    parts.network.addHandler(exchange)
    val slotDuty = SlotDuty(limits, settings, SHARD_COUNT, parts.store, parts.lists, parts.clock)
    return SharedRateLimiter(limits, exchange, slotDuty, meters)
}

/** The number of shards of organisations. It must be equal at all instances and must never change within a fleet. */
private const val SHARD_COUNT = 16
