package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.OrganisationId
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The demand of one organisation, whose level shifts every [shift].
 *
 * @property levels the demand relative to the rate in successive shifts
 */
internal class OrganisationDemand(val limit: TokenRate, private val levels: List<Double>) {
    /** Returns the requests per second at [elapsed]. */
    fun requestsPerSecond(elapsed: Duration): Double {
        val level = levels[(elapsed / shift).toInt() % levels.size]
        return level * limit.tokensPerSecond / MEAN_TOKENS
    }

    private companion object {
        val shift = 15.seconds
        const val MEAN_TOKENS = 650.0
    }
}

/** Draws requests of five organisations, some large, one of which sends four times its rate. */
internal class LimitWorkload(private val random: Random) {
    /** The organisations. */
    val organisations: Map<OrganisationId, OrganisationDemand> = mapOf(
        OrganisationId("theatres") to demand(8_000, 0.5, 0.9, 0.7, 0.3),
        OrganisationId("halls") to demand(4_000, 0.3, 0.6, 0.95, 0.6),
        OrganisationId("prefecture") to demand(2_000, 0.9, 0.2, 0.6, 0.8),
        OrganisationId("harbour") to demand(1_000, 0.6, 0.8, 0.1, 0.9),
        OrganisationId("flood") to demand(2_000, 4.0),
    )

    /** Returns the time to the next arrival of an organisation that sends [requestsPerSecond]. */
    fun gap(requestsPerSecond: Double): Duration = (-ln(1 - random.nextDouble()) / requestsPerSecond).seconds

    /** Draws a request: its prompt and most output are charged, and part of the output is not used. */
    fun request(organisation: OrganisationId): SimulatedRequest {
        val prompt = random.nextLong(PROMPT_TOKENS.first, PROMPT_TOKENS.last)
        val most = random.nextLong(OUTPUT_TOKENS.first, OUTPUT_TOKENS.last)
        val output = random.nextLong((most * LEAST_OUTPUT_SHARE).toLong(), most)
        return SimulatedRequest(organisation, prompt + most, prompt + output, gap(1 / MEAN_SECONDS))
    }

    /** Draws the instance at which a request arrives at [elapsed]: few get most, and which ones shifts. */
    fun instance(organisation: OrganisationId, elapsed: Duration, instances: Int): Int {
        val rank = (instances * random.nextDouble() * random.nextDouble()).toInt()
        val shift = (elapsed / instanceShift).toInt() + organisation.hashCode()
        return Math.floorMod(rank + shift, instances)
    }

    private fun demand(rate: Long, vararg levels: Double) =
        OrganisationDemand(TokenRate(rate, rate * BURST_SECONDS), levels.toList())

    private companion object {
        val PROMPT_TOKENS = 100L..800L
        val OUTPUT_TOKENS = 100L..300L
        const val LEAST_OUTPUT_SHARE = 0.25
        val instanceShift = 20.seconds
        const val MEAN_SECONDS = 3.0
        const val BURST_SECONDS = 5L
    }
}
