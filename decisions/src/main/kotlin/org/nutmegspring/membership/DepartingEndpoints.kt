package org.nutmegspring.membership

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The endpoints that are known to depart, so that each instance avoids them before the platform's list shows it.
 *
 * An instance passes an endpoint on for [SPREADING] after it first learned of it, which ends the exchange. The table
 * has no lock; its owner serialises the calls.
 */
class DepartingEndpoints {
    private val learnedAt = LinkedHashMap<EndpointId, MonotonicTime>()

    /** Adds [endpoints], learned of at [now]. */
    fun add(endpoints: Collection<EndpointId>, now: MonotonicTime) {
        learnedAt.values.removeIf { now - it > REMEMBERING }
        endpoints.forEach { learnedAt.putIfAbsent(it, now) }
        while (learnedAt.size > MAXIMUM_ENDPOINTS) learnedAt.remove(learnedAt.keys.first())
    }

    /** Returns all that are known. */
    fun all(): Set<EndpointId> = learnedAt.keys.toSet()

    /** Returns those to pass on at [now]. */
    fun toSpread(now: MonotonicTime): List<EndpointId> =
        learnedAt.entries.filter { now - it.value <= SPREADING }.map { it.key }.takeLast(MAXIMUM_SPREAD)

    private companion object {
        val SPREADING = 30.seconds
        val REMEMBERING = 10.minutes
        const val MAXIMUM_ENDPOINTS = 4096
        const val MAXIMUM_SPREAD = 64
    }
}
