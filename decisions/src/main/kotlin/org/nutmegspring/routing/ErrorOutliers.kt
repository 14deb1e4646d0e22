package org.nutmegspring.routing

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds the endpoints of one service that answer with errors more often than the others, and decides for how long each
 * is avoided.
 *
 * Load pattern: some endpoints fail a part of their requests, or all of them, while their health check is good. A
 * circuit breaker that counts consecutive failures does not open, and since errors come fast, such an endpoint looks
 * idle and attracts work. Errors that requests cause come from all endpoints alike, and none of them is avoided.
 */
class ErrorOutliers {
    private class Answers(var count: Double, var errors: Double)

    private class Avoidance(val until: MonotonicTime, val duration: Duration)

    private val answers = HashMap<EndpointId, Answers>()
    private val avoidances = HashMap<EndpointId, Avoidance>()
    private var decayedAt = MonotonicTime.ZERO

    /**
     * Records an answer of [endpoint] at [now]. Returns until when the endpoint is to be avoided, null unless the
     * answer is an error and the endpoint an outlier.
     */
    fun record(endpoint: EndpointId, isError: Boolean, now: MonotonicTime): MonotonicTime? {
        decay(now)
        val own = answers.getOrPut(endpoint) { Answers(0.0, 0.0) }
        own.count++
        if (!isError) return null
        own.errors++
        if (!isOutlier(endpoint, own)) return null
        val last = avoidances[endpoint]
        val isRepeated = last != null && now - last.until < REPETITION_TIME
        val duration = if (isRepeated) minOf(last.duration * 2, MAXIMUM_AVOIDANCE) else INITIAL_AVOIDANCE
        return Avoidance(now + duration, duration).also { avoidances[endpoint] = it }.until
    }

    /** Forgets [endpoint], at whose address another process answers or none. */
    fun forget(endpoint: EndpointId) {
        answers.remove(endpoint)
        avoidances.remove(endpoint)
    }

    private fun isOutlier(endpoint: EndpointId, own: Answers): Boolean {
        val others = answers.filterKeys { it != endpoint }.values
        val count = others.sumOf { it.count }
        if (count < MINIMUM_OTHER_ANSWERS) return false
        val usualShare = others.sumOf { it.errors } / count
        val ownShare = (own.errors + PRIOR_ANSWERS * usualShare) / (own.count + PRIOR_ANSWERS)
        return ownShare > usualShare * OUTLIER_FACTOR + OUTLIER_MARGIN
    }

    private fun decay(now: MonotonicTime) {
        val age = now - decayedAt
        if (age < DECAY_STEP) return
        decayedAt = now
        val factor = exp(-(age / DECAY_TIME))
        answers.values.forEach {
            it.count *= factor
            it.errors *= factor
        }
        answers.values.removeIf { it.count < FORGOTTEN_ANSWERS }
        avoidances.values.removeIf { now - it.until > REPETITION_TIME }
    }

    private companion object {
        val DECAY_TIME = 8.seconds
        val DECAY_STEP = 1.seconds
        const val FORGOTTEN_ANSWERS = 0.05

        /** With fewer answers it is not known whether requests cause the errors. */
        const val MINIMUM_OTHER_ANSWERS = 10.0

        /** The weight of the usual share, so that the first answer of an endpoint alone does not decide. */
        const val PRIOR_ANSWERS = 2.0
        const val OUTLIER_FACTOR = 3.0
        const val OUTLIER_MARGIN = 0.05

        /** Long enough that other instances hear of it, and short for an endpoint that failed once by chance. */
        val INITIAL_AVOIDANCE = 1.seconds
        val MAXIMUM_AVOIDANCE = 4.seconds

        /** An endpoint that fails again within this time after it was avoided is avoided for twice as long. */
        val REPETITION_TIME = 8.seconds
    }
}
