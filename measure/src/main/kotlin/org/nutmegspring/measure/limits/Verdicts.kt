package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.CeilingCheck
import org.nutmegspring.time.MonotonicTime
import kotlin.time.DurationUnit

/** What a way of limiting made of the requests, beside one ideal central bucket for each organisation. */
internal class Verdicts(limits: Map<OrganisationId, TokenRate>, start: MonotonicTime) {
    private val organisations = limits.mapValues { OrganisationVerdicts(it.value, start) }

    /** Records the verdict on [request], which arrived at [arrival] and was decided at [now]. */
    fun add(request: SimulatedRequest, admitted: Boolean, ideal: Boolean, arrival: MonotonicTime, now: MonotonicTime) {
        organisations.getValue(request.organisation).add(request, admitted, ideal, arrival, now)
    }

    /** The greatest excess over the rate in any window, relative to the burst, of any organisation. */
    val admittedOverAllowed: Double get() = organisations.values.maxOf { it.ceiling.maximumExcessRatio }

    /**
     * The percentage of all requests that were refused beyond as many as the ideal buckets refused.
     *
     * The difference is taken for each organisation in successive windows as long as its burst takes to fill, and
     * windows in which fewer were refused than by the ideal bucket do not make up for others. For an organisation
     * within its rate, whose requests the ideal bucket all admits, every refusal counts. An organisation above its
     * rate may be refused one request in place of another in the same window, which does not count.
     */
    val wrongfulPercent: Double get() = percent { it.windowedWrongful() }

    /** As [wrongfulPercent], with the difference taken over the whole trial. */
    val trialWrongfulPercent: Double get() = percent { it.netWrongful() }

    /** The percentage of all requests that were refused although the ideal bucket admitted the same request. */
    val differingPercent: Double get() = percent { it.wrongful() }

    /** The least share, over the organisations, of the tokens that the ideal bucket let through. */
    val worstServedShare: Double get() = organisations.values.minOf { it.servedShare }

    private fun percent(count: (OrganisationVerdicts) -> Int): Double =
        PERCENT * organisations.values.sumOf(count) / organisations.values.sumOf { it.requests }

    private companion object {
        const val PERCENT = 100.0
    }
}

/** The verdicts on the requests of one organisation. */
private class OrganisationVerdicts(limit: TokenRate, private val start: MonotonicTime) {
    private val windowSeconds = limit.burstTokens.toDouble() / limit.tokensPerSecond
    val ceiling = CeilingCheck(limit, start)
    var requests = 0L
        private set
    private val wrongfulIn = HashMap<Int, Int>()
    private val generousIn = HashMap<Int, Int>()
    private var served = 0L
    private var servedByIdeal = 0L

    val servedShare: Double get() = served.toDouble() / servedByIdeal

    fun add(request: SimulatedRequest, admitted: Boolean, ideal: Boolean, arrival: MonotonicTime, now: MonotonicTime) {
        val window = ((arrival - start).toDouble(DurationUnit.SECONDS) / windowSeconds).toInt()
        requests++
        if (ideal) servedByIdeal += request.used
        if (admitted) {
            served += request.used
            ceiling.record(request.used, now)
        }
        if (ideal && !admitted) wrongfulIn.merge(window, 1, Int::plus)
        if (admitted && !ideal) generousIn.merge(window, 1, Int::plus)
    }

    fun wrongful(): Int = wrongfulIn.values.sum()

    fun netWrongful(): Int = (wrongful() - generousIn.values.sum()).coerceAtLeast(0)

    fun windowedWrongful(): Int = wrongfulIn.entries.sumOf { (window, count) ->
        (count - (generousIn[window] ?: 0)).coerceAtLeast(0)
    }
}
