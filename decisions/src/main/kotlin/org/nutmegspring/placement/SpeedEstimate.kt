package org.nutmegspring.placement

import org.nutmegspring.time.MonotonicTime
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates how much longer work takes at one endpoint than at a nominal one, apart from its queue.
 *
 * Load pattern: endpoints of one service differ in speed for good, by up to three times, and share their machines
 * with others, which slows them down by more than twice for some hundred milliseconds at a time. A single average of
 * response times mixes both: it forgets the lasting speed and avoids an endpoint long after a short slowdown.
 *
 * The lasting factor is learnt from prefills, with the momentary factor that the endpoint told divided out. A prefill
 * that was faster than expected proves the speed, while a slower one may have waited behind work that this instance
 * does not know of, so the estimate falls quickly and rises slowly. Without figures told by the endpoint there is no
 * estimate.
 */
class SpeedEstimate {
    private var logarithm = 0.0
    private var samples = 0
    private var peerFactor: Double? = null
    private var told: Double? = null
    private var toldAt = MonotonicTime.ZERO

    /** The lasting factor by own observations, null before [MINIMUM_SAMPLES] of them. */
    val ownFactor: Double? get() = exp(logarithm).takeIf { samples >= MINIMUM_SAMPLES }

    /** The lasting factor: 1 at the nominal speed, above it for a slower endpoint. */
    val lastingFactor: Double get() = ownFactor ?: peerFactor ?: 1.0

    /** Whether the endpoint has told at all how long its work takes. */
    val isTold: Boolean get() = told != null

    /** Records that at [now] the endpoint told that its work takes [ratio] times as long as usual. */
    fun recordTold(ratio: Double, now: MonotonicTime) {
        told = ratio.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR)
        toldAt = now
    }

    /** Records a prefill that took [actual] until [now], and takes [nominal] at the nominal speed, queue included. */
    fun recordPrefill(nominal: Duration, actual: Duration, now: MonotonicTime) {
        val ratio = (actual / nominal / momentaryFactor(now)).coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR)
        val difference = ln(ratio) - logarithm
        logarithm += difference * if (difference < 0) FASTER_WEIGHT else SLOWER_WEIGHT
        samples++
    }

    /** Takes the lasting factor that another instance observed, until this instance has observations of its own. */
    fun adoptPeerFactor(factor: Double) {
        if (factor.isFinite()) peerFactor = factor.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR)
    }

    /** Returns how much longer work takes at [now] than at a nominal endpoint, null if the endpoint tells nothing. */
    fun slowdown(now: MonotonicTime): Double? = if (isTold) lastingFactor * momentaryFactor(now) else null

    /** Forgets everything: a new process, or another role, has another speed. */
    fun reset() {
        logarithm = 0.0
        samples = 0
        peerFactor = null
        told = null
    }

    private fun momentaryFactor(now: MonotonicTime): Double = told?.takeIf { now - toldAt < TOLD_LIFETIME } ?: 1.0

    private companion object {
        /** A single prefill may have waited behind work of other instances. */
        const val MINIMUM_SAMPLES = 3

        const val FASTER_WEIGHT = 0.3
        const val SLOWER_WEIGHT = 0.05

        /** Slowdowns last for some hundred milliseconds, so an older figure says nothing of the next prefill. */
        val TOLD_LIFETIME = 300.milliseconds

        const val MINIMUM_FACTOR = 0.3
        const val MAXIMUM_FACTOR = 8.0
    }
}
