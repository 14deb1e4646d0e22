package org.nutmegspring.membership

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The endpoints known to be departing, so that each instance avoids them before the platform's list shows their state.
 *
 * An instance propagates an endpoint only for [PROPAGATION_PERIOD] after it first learned of the departure, so that the
 * gossip terminates.
 *
 * It is not thread-safe.
 */
class DepartingEndpoints {
    private val learnedAt = LinkedHashMap<EndpointId, MonotonicTime>()

    /** Adds [endpoints], whose departure became known at [now]. */
    fun add(endpoints: Collection<EndpointId>, now: MonotonicTime) {
        learnedAt.values.removeIf { now - it > RETENTION_PERIOD }
        endpoints.forEach { learnedAt.putIfAbsent(it, now) }
        while (learnedAt.size > MAXIMUM_ENDPOINTS) learnedAt.remove(learnedAt.keys.first())
    }

    /** Returns all endpoints known to be departing. */
    fun all(): Set<EndpointId> = learnedAt.keys.toSet()

    /** Returns the endpoints to propagate to other instances at [now]. */
    fun toPropagate(now: MonotonicTime): List<EndpointId> =
        learnedAt.entries.filter { now - it.value <= PROPAGATION_PERIOD }.map { it.key }.takeLast(MAXIMUM_PROPAGATED)

    private companion object {
        val PROPAGATION_PERIOD = 30.seconds
        val RETENTION_PERIOD = 10.minutes
        const val MAXIMUM_ENDPOINTS = 4096
        const val MAXIMUM_PROPAGATED = 64
    }
}
