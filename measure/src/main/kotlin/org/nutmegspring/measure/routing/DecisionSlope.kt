package org.nutmegspring.measure.routing

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.measure.Progress
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.routing.FleetView
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.routing.RoutingPolicy
import org.nutmegspring.routing.createRouter
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** The times of one decision. */
class SlopeResult(val figures: Map<String, Double>, val largestFleetMicroseconds: Double)

/** Measures how the time of one decision grows with engines and with cached pieces. */
class DecisionSlope(private val seed: Long) {
    /** Runs the measurement. */
    fun run(progress: Progress): SlopeResult {
        val figures = LinkedHashMap<String, Double>()
        measure(WARM_UP_ENGINES, PIECES.last())
        for (engines in ENGINES) {
            val time = measure(engines, PIECES.last())
            figures["decision among $engines engines, ${PIECES.last()} pieces [us]"] = time
            progress.tell(
                "  decision among %5d engines with %6d cached pieces: %.2f us".format(engines, PIECES.last(), time),
            )
        }
        val largest = figures.values.last()
        for (pieces in PIECES) {
            val time = measure(ENGINES.last(), pieces)
            figures["decision among ${ENGINES.last()} engines, $pieces pieces [us]"] = time
            progress.tell(
                "  decision among %5d engines with %6d cached pieces: %.2f us".format(ENGINES.last(), pieces, time),
            )
        }
        return SlopeResult(figures, maxOf(largest, figures.values.last()))
    }

    private fun measure(engines: Int, pieces: Int): Double {
        val random = Random(seed)
        val fleet = FleetView(EngineCosts(), INSTANCES, pieces)
        repeat(engines) { addEngine(fleet, it, random) }
        repeat(pieces * COPIES) { fleet.cache.record(random.nextLong(pieces.toLong()), random.nextInt(engines), true) }
        val router = createRouter(fleet, RoutingPolicy.ExpectedDelay(), random)
        val demands = List(DECISIONS) { demand(pieces, random) }
        val start = System.nanoTime()
        demands.forEachIndexed { index, demand ->
            val now = MonotonicTime.ZERO + INTERVAL * index
            router.choose(demand, now)?.let { fleet.recordDispatch(demand, it, now) }
        }
        return (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / DECISIONS
    }

    private fun addEngine(fleet: FleetView, number: Int, random: Random) {
        val id = EndpointId("engine-$number")
        fleet.add(id, DataCentreId("centre-${number % DATA_CENTRES}"))
        val report = LoadReport(
            engine = id,
            target = EngineTarget(EngineRole.MIXED, ModelId("model"), "1"),
            changing = false,
            queuedPromptTokens = random.nextLong(MAXIMUM_QUEUED),
            activeStreams = random.nextInt(MAXIMUM_STREAMS),
            queuedRequests = 0,
            sequence = 1,
        )
        fleet.applyReport(report, MonotonicTime.ZERO, Duration.ZERO)
    }

    private fun demand(pieces: Int, random: Random): GenerationDemand {
        val count = 1 + random.nextInt(MAXIMUM_PROMPT_PIECES)
        return GenerationDemand(
            pieces = List(count) { random.nextLong(pieces.toLong()) },
            promptTokens = count * TOKENS_PER_PIECE + 1,
            outputTokens = 1,
            origin = DataCentreId("centre-${random.nextInt(DATA_CENTRES)}"),
        )
    }

    private companion object {
        val ENGINES = listOf(12, 50, 200, 800, 3_200)
        val PIECES = listOf(1_000, 8_000, 65_536)
        val INTERVAL = 100.microseconds
        const val WARM_UP_ENGINES = 50
        const val INSTANCES = 7
        const val COPIES = 4
        const val DECISIONS = 20_000
        const val DATA_CENTRES = 12
        const val MAXIMUM_QUEUED = 8_000L
        const val MAXIMUM_STREAMS = 150
        const val MAXIMUM_PROMPT_PIECES = 8
        const val NANOSECONDS_PER_MICROSECOND = 1e3
    }
}
