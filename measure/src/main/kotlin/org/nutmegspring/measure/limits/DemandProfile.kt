package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.OrganisationId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * How an organisation of a randomised run uses its limit.
 *
 * @property unusedShare the share of phases in which requests use nothing of what they were charged
 */
internal enum class DemandProfile(
    private val rates: LongRange,
    private val bursts: LongRange,
    val unusedShare: Double,
    val mostSecondsWhenBusy: Double,
    val mostSecondsWhenQuiet: Double,
    val mostSecondsBusy: Double,
    val mostSecondsQuiet: Double,
) {
    /** Wants more than it may have for long times, with a burst that takes long to fill. */
    STEADY(20L..60L, 300L..600L, 0.1, 0.1, 3.0, 20.0, 20.0),

    /** Wants much in short pulses, with a burst that fills between them. */
    PULSED(200L..500L, 200L..500L, 0.1, 0.02, 0.5, 1.5, 3.0),

    /** Like [PULSED], but in many pulses nothing is used of what was charged. */
    REFUNDED(200L..500L, 200L..500L, 0.5, 0.02, 0.5, 1.5, 2.0),

    /** Sends few requests, each of which takes a great part of the burst from many instances. */
    LARGE(50L..150L, 300L..600L, 0.1, 1.0, 1.0, 10.0, 10.0),
    ;

    /** Draws a limit. */
    fun limit(random: Random): TokenRate = TokenRate(rates.random(random), bursts.random(random))

    /** Draws a request of [organisation], of which nothing is used when [unused]. */
    fun request(organisation: OrganisationId, unused: Boolean, random: Random): SimulatedRequest {
        val large = this == LARGE || random.nextDouble() < SHARE_OF_LARGE
        val tokens = if (large) random.nextLong(MOST_TOKENS, MOST_TOKENS_OF_LARGE) else random.nextLong(1, MOST_TOKENS)
        val used = if (unused) 0 else tokens
        val duration = random.nextDouble(MOST_SECONDS_OF_REQUEST).seconds
        return SimulatedRequest(organisation, tokens, used, duration)
    }

    private companion object {
        const val SHARE_OF_LARGE = 0.02
        const val MOST_TOKENS = 60L
        const val MOST_TOKENS_OF_LARGE = 400L
        const val MOST_SECONDS_OF_REQUEST = 4.0
    }
}
