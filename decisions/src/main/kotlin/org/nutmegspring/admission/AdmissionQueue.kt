package org.nutmegspring.admission

import org.nutmegspring.fairness.FairQueue
import org.nutmegspring.fairness.OfferResult
import org.nutmegspring.fairness.QueuedItem
import org.nutmegspring.fairness.fairQueue
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.routing.Placement
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The latency objectives and bounds of the admission queue.
 *
 * @property firstTokenObjective the objective for the time to first token
 * @property interTokenObjective the objective for the time between tokens
 * @property longPromptFactor the time-to-first-token objective of a long prompt, as a multiple of the time to its first
 * token on an otherwise idle engine; applies where it exceeds [firstTokenObjective]
 * @property objectiveShare the share of an objective that the expected latency may use, because estimates are inexact
 * @property minimumWait the minimum time for which a request may wait in the queue
 * @property capacity the maximum number of queued requests
 * @property minimumRetryAfter the minimum retry delay given to a refused request
 * @property maximumRetryAfter the maximum retry delay given to a refused request
 */
data class AdmissionSettings(
    val firstTokenObjective: Duration = 400.milliseconds,
    val interTokenObjective: Duration = 59.milliseconds,
    val longPromptFactor: Double = 2.0,
    val objectiveShare: Double = 0.85,
    val minimumWait: Duration = 50.milliseconds,
    val capacity: Int = 256,
    val minimumRetryAfter: Duration = 1.seconds,
    val maximumRetryAfter: Duration = 10.seconds,
)

/** A request that has been queued since [arrivalTime]. */
class QueuedRequest<T>(val value: T, val arrivalTime: MonotonicTime)

/** The result of adding a request to the queue. */
sealed interface EnqueueResult<T> {
    /** The request was queued. */
    class Queued<T>(val item: QueuedItem<QueuedRequest<T>>) : EnqueueResult<T>

    /** The request was queued, and the caller must refuse [evicted], which was removed to make room for it. */
    class QueuedWithEviction<T>(val item: QueuedItem<QueuedRequest<T>>, val evicted: T) : EnqueueResult<T>

    /** The queue is full, and the caller must refuse the request. */
    class Refused<T> : EnqueueResult<T>
}

/**
 * Queues requests whose latency objectives cannot currently be met, until they can be met or the request's deadline has
 * passed. Capacity that becomes available is shared among organisations by weight. Not safe for concurrent use.
 */
class AdmissionQueue<T>(private val settings: AdmissionSettings = AdmissionSettings()) {
    private val queue: FairQueue<QueuedRequest<T>> = fairQueue(settings.capacity)

    /** The number of queued requests. */
    val size: Int get() = queue.size

    /** Returns whether a request that has waited for [waited] is expected to meet its objectives at [placement]. */
    fun canMeetObjectives(placement: Placement, waited: Duration = Duration.ZERO): Boolean {
        val interTokenLimit = settings.objectiveShare * settings.interTokenObjective.toDouble(DurationUnit.SECONDS)
        val firstTokenLimit = settings.objectiveShare * firstTokenObjectiveSeconds(placement)
        val expectedFirstToken = placement.expectedFirstTokenSeconds + waited.toDouble(DurationUnit.SECONDS)
        return expectedFirstToken <= firstTokenLimit && placement.expectedInterTokenSeconds <= interTokenLimit
    }

    /** Adds [value], which arrives at [now]; [placement] is currently its best placement. */
    fun enqueue(
        organisation: OrganisationId,
        weight: Int,
        placement: Placement,
        now: MonotonicTime,
        value: T,
    ): EnqueueResult<T> {
        val maximumWait = (firstTokenObjectiveSeconds(placement) - placement.minimumFirstTokenSeconds).seconds
        val deadline = now + maxOf(maximumWait, settings.minimumWait)
        val cost = maxOf(1L, placement.expectedUncachedTokens.toLong())
        return when (val offer = queue.offer(organisation, weight, cost, deadline, QueuedRequest(value, now))) {
            is OfferResult.Queued -> EnqueueResult.Queued(offer.item)
            is OfferResult.QueuedInPlaceOf -> EnqueueResult.QueuedWithEviction(offer.item, offer.displaced.value.value)
            is OfferResult.Full -> EnqueueResult.Refused()
        }
    }

    /** Removes and returns the requests whose deadline has passed at [now]. */
    fun removeExpired(now: MonotonicTime): List<T> = queue.expire(now).map { it.value.value }

    /** Returns the next request to serve without removing it, or null if the queue is empty. */
    fun peek(): QueuedRequest<T>? = queue.peek()?.value

    /** Removes and returns the next request to serve, or returns null if the queue is empty. */
    fun poll(): T? = queue.poll()?.value?.value

    /** Removes [item], for example because its caller has disconnected, and returns whether it was still queued. */
    fun remove(item: QueuedItem<QueuedRequest<T>>): Boolean = queue.remove(item)

    /** Returns the delay after which a refused request may be retried, given its best [placement]. */
    fun computeRetryAfter(placement: Placement): Duration {
        val excess = (placement.expectedFirstTokenSeconds - firstTokenObjectiveSeconds(placement)).seconds
        return excess.coerceIn(settings.minimumRetryAfter, settings.maximumRetryAfter)
    }

    private fun firstTokenObjectiveSeconds(placement: Placement): Double =
        maxOf(
            settings.firstTokenObjective.toDouble(DurationUnit.SECONDS),
            settings.longPromptFactor * placement.minimumFirstTokenSeconds,
        )
}
