package org.nutmegspring.limits

import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this instance knows of endpoints that have turned cold.
 *
 * After a suspension it does once a call to the store for endpoints that began later was answered. While the store is
 * down the reports of others tell, since any of them may have got an answer of the endpoint; an instance without
 * either is cut off. An outage of the store alone therefore does not slow down the fleet.
 */
class EndpointKnowledge {
    private var activeAt: MonotonicTime? = null
    private var resumedAt: MonotonicTime? = null
    private var isCutOff = false

    /**
     * Records that the process runs at [now], as it does many times a second. [ages] tells for how long it did not.
     *
     * @param evidenceAge the age of the evidence that the list of endpoints is current, null without any
     * @param isAlone whether there are other instances and none of them reports
     */
    fun recordActivity(evidenceAge: Duration?, isAlone: Boolean, now: MonotonicTime, ages: AgeClock) {
        noticeSuspension(now, ages)
        activeAt = now
        val age = evidenceAge ?: Duration.INFINITE
        if (resumedAt?.let { age <= ages.ageOf(it) } ?: false) resumedAt = null
        isCutOff = isAlone && age > LONGEST_EVIDENCE_AGE
    }

    /** Whether the knowledge suffices at [now]. [ages] is as for [recordActivity]. */
    fun isSufficient(now: MonotonicTime, ages: AgeClock): Boolean {
        noticeSuspension(now, ages)
        return resumedAt == null && !isCutOff
    }

    private fun noticeSuspension(now: MonotonicTime, ages: AgeClock) {
        if (activeAt?.let { ages.ageOf(it) > LONGEST_PAUSE } ?: false) {
            resumedAt = now
            activeAt = now
        }
    }

    private companion object {
        /** The age that evidence reaches while the store answers: waits of 1.2 s. A shorter pause hides no more. */
        val LONGEST_PAUSE = 1500.milliseconds

        /** One failed call for changes and its repetition. */
        val LONGEST_EVIDENCE_AGE = 3.seconds
    }
}
