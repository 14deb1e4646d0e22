package org.nutmegspring.currency

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.InstanceId

/**
 * Chooses the relays: the few instances that wait at the store for changes and are asked by the others.
 *
 * Each instance chooses for itself from the instances that it believes to serve. Where two choose differently, the
 * store gets more calls, and nothing else depends on it: a relay answers whoever asks, and an instance without a relay
 * that answers waits at the store itself.
 */
object RelayChoice {
    /** Enough that the loss of any two leaves one. */
    private const val MINIMUM_RELAYS = 3

    /** So that a relay is asked by few, however large the fleet is. */
    private const val INSTANCES_PER_RELAY = 24

    /** Returns the relays among [candidates]. */
    fun relays(candidates: Set<InstanceId>): Set<InstanceId> =
        candidates.sortedWith(compareBy({ weight("relay", it) }, { it }))
            .take(MINIMUM_RELAYS + candidates.size / INSTANCES_PER_RELAY)
            .toSet()

    /**
     * Returns [relays] in the order in which [self] asks them: those for which [isNear] holds first, and each group in
     * an order of the instance's own, so that the questions spread.
     */
    fun orderFor(self: InstanceId, relays: Set<InstanceId>, isNear: (InstanceId) -> Boolean): List<InstanceId> =
        relays.sortedWith(compareBy({ !isNear(it) }, { weight(self.value, it) }, { it }))

    private fun weight(purpose: String, instance: InstanceId): Long =
        Hashing.komihash5_0().hashCharsToLong("$purpose\n${instance.value}")
}
