package org.nutmegspring.measure.routing

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sin
import kotlin.random.Random

/**
 * Describes the offered requests.
 *
 * @property requestsPerSecond the mean rate of arrivals over all engines
 * @property sharedPrefixes whether requests of one group start with the same pieces
 * @property swingSeconds the period in which the share of long prompts swings
 * @property swingAmplitude how far the share of long prompts moves from one half
 */
data class TrafficSetting(
    val requestsPerSecond: Double,
    val sharedPrefixes: Boolean,
    val swingSeconds: Double = 90.0,
    val swingAmplitude: Double = 0.4,
    val groups: Int = 400,
    val swingShape: SwingShape = SwingShape.SINE,
)

/** How the mix moves within a period. */
enum class SwingShape {
    /** Smoothly. */
    SINE,

    /** From one extreme to the other at once. */
    SQUARE,

    /** Slowly up and at once down. */
    SAWTOOTH,
    ;

    /** Returns the deviation, from -1 to 1, at [phase] periods. */
    fun deviation(phase: Double): Double = when (this) {
        SINE -> sin(2 * PI * phase)
        SQUARE -> if (phase % 1 < HALF_PERIOD) 1.0 else -1.0
        SAWTOOTH -> 2 * (phase % 1) - 1
    }
}

private const val HALF_PERIOD = 0.5

/** A request that arrives [delaySeconds] after the one before. */
class OfferedRequest(
    val delaySeconds: Double,
    val pieces: LongArray,
    val promptTokens: Int,
    val outputTokens: Int,
    val organisation: OrganisationId,
)

/** Draws requests: long prompts with short outputs and short prompts with longer outputs, in a mix that swings. */
class Traffic(private val setting: TrafficSetting, private val random: Random) {
    private val cumulative = cumulativeShares(setting.groups)
    private val prefixes = List(setting.groups) { LongArray(LONG_PIECES + 1) { random.nextLong() } }
    private var seconds = 0.0

    /** Returns the next request. */
    fun next(): OfferedRequest {
        val delay = -ln(1 - random.nextDouble()) / setting.requestsPerSecond
        seconds += delay
        val group = group()
        val long = random.nextDouble() < longShare()
        val count = if (long) LONG_PIECES + group % 2 else SHORT_PIECES
        val output = if (long) between(LONG_OUTPUT) else between(SHORT_OUTPUT)
        val promptTokens = count * TOKENS_PER_PIECE + between(OWN_TOKENS)
        return OfferedRequest(delay, pieces(group, count), promptTokens, output, organisation())
    }

    private fun organisation(): OrganisationId {
        val drawn = random.nextDouble()
        return ORGANISATIONS[ORGANISATION_SHARES.indexOfFirst { drawn < it }]
    }

    private fun longShare(): Double =
        HALF + setting.swingAmplitude * setting.swingShape.deviation(seconds / setting.swingSeconds)

    private fun pieces(group: Int, count: Int): LongArray =
        if (setting.sharedPrefixes) {
            prefixes[group].copyOf(count)
        } else {
            LongArray(count) { random.nextLong() }
        }

    private fun group(): Int {
        val found = cumulative.binarySearch(random.nextDouble())
        return minOf(if (found >= 0) found else -found - 1, setting.groups - 1)
    }

    private fun between(range: IntRange): Int = random.nextInt(range.first, range.last + 1)

    private fun cumulativeShares(groups: Int): DoubleArray {
        val shares = DoubleArray(groups) { 1 / (it + 1.0).pow(SKEW) }
        val total = shares.sum()
        var sum = 0.0
        return DoubleArray(groups) {
            sum += shares[it] / total
            sum
        }
    }

    private companion object {
        val ORGANISATION_SHARES = listOf(0.45, 0.75, 0.88, 0.95, 1.0)
        val ORGANISATIONS = List(ORGANISATION_SHARES.size) { OrganisationId("organisation-$it") }
        const val HALF = 0.5
        const val SKEW = 0.9
        const val SHORT_PIECES = 1
        const val LONG_PIECES = 2
        val OWN_TOKENS = 200..1_000
        val LONG_OUTPUT = 60..140
        val SHORT_OUTPUT = 200..400
    }
}
