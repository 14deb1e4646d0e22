package org.nutmegspring.admission

import org.nutmegspring.fairness.FairQueue
import org.nutmegspring.fairness.Offer
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
 * The latency goals and the bounds of the admission queue.
 *
 * @property firstToken the goal for the first token; a long prompt has [longPromptFactor] times what it takes alone
 * @property tokenGap the goal for the time between tokens
 * @property headroom the share of the goals that may be expected, because expectations err
 * @property leastWait how long a request may wait at least
 * @property capacity how many requests wait at most
 */
data class AdmissionSetting(
    val firstToken: Duration = 400.milliseconds,
    val tokenGap: Duration = 59.milliseconds,
    val longPromptFactor: Double = 2.0,
    val headroom: Double = 0.85,
    val leastWait: Duration = 50.milliseconds,
    val capacity: Int = 256,
    val leastRetryAfter: Duration = 1.seconds,
    val mostRetryAfter: Duration = 10.seconds,
)

/** A request that waits since [arrival]. */
class Held<T>(val value: T, val arrival: MonotonicTime)

/** What became of a request that could not be placed at once. */
sealed interface Arrival<T> {
    /** It waits. */
    class Waiting<T>(val item: QueuedItem<Held<T>>) : Arrival<T>

    /** It waits, and [refused] has to be refused for it. */
    class WaitingInPlaceOf<T>(val item: QueuedItem<Held<T>>, val refused: T) : Arrival<T>

    /** It has to be refused. */
    class Refused<T> : Arrival<T>
}

/**
 * Holds requests whose latency goals cannot be met now, until they can or their time has run out, and shares what
 * becomes free among organisations by weight. It is not safe for concurrent use.
 */
class AdmissionQueue<T>(private val setting: AdmissionSetting = AdmissionSetting()) {
    private val queue: FairQueue<Held<T>> = fairQueue(setting.capacity)

    /** How many requests wait. */
    val size: Int get() = queue.size

    /** Whether a request that has waited for [waited] is expected to meet its latency goals at [placement]. */
    fun meetsGoals(placement: Placement, waited: Duration = Duration.ZERO): Boolean {
        val gap = setting.headroom * setting.tokenGap.toDouble(DurationUnit.SECONDS)
        val firstToken = setting.headroom * firstTokenGoal(placement)
        val expected = placement.expectedFirstToken + waited.toDouble(DurationUnit.SECONDS)
        return expected <= firstToken && placement.expectedGap <= gap
    }

    /** Adds [value], which arrives at [now] and would best go to [placement]. */
    fun arrive(
        organisation: OrganisationId,
        weight: Int,
        placement: Placement,
        now: MonotonicTime,
        value: T,
    ): Arrival<T> {
        val wait = (firstTokenGoal(placement) - placement.leastFirstToken).seconds
        val deadline = now + maxOf(wait, setting.leastWait)
        val cost = maxOf(1L, placement.expectedUncachedTokens.toLong())
        return when (val offer = queue.offer(organisation, weight, cost, deadline, Held(value, now))) {
            is Offer.Queued -> Arrival.Waiting(offer.item)
            is Offer.QueuedInPlaceOf -> Arrival.WaitingInPlaceOf(offer.item, offer.displaced.value.value)
            is Offer.Full -> Arrival.Refused()
        }
    }

    /** Removes and returns the requests whose time has run out at [now]. */
    fun expire(now: MonotonicTime): List<T> = queue.expire(now).map { it.value.value }

    /** Returns the request that is served next, or null when none waits. */
    fun peek(): Held<T>? = queue.peek()?.value

    /** Takes the request that is served next, or returns null when none waits. */
    fun poll(): T? = queue.poll()?.value?.value

    /** Removes [item], for example because its caller has gone, and returns whether it still waited. */
    fun remove(item: QueuedItem<Held<T>>): Boolean = queue.remove(item)

    /** Returns after how long a refused request may try again, when it would have gone to [placement]. */
    fun retryAfter(placement: Placement): Duration {
        val excess = (placement.expectedFirstToken - firstTokenGoal(placement)).seconds
        return excess.coerceIn(setting.leastRetryAfter, setting.mostRetryAfter)
    }

    private fun firstTokenGoal(placement: Placement): Double =
        maxOf(setting.firstToken.toDouble(DurationUnit.SECONDS), setting.longPromptFactor * placement.leastFirstToken)
}
