package org.nutmegspring.measure.path

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.fleet.LocalFleet
import org.nutmegspring.measure.fleet.LocalFleetSettings
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.Goal
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import org.nutmegspring.standin.engine.EngineCost
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Measures what an instance adds over calling the engine directly, both in turn in one run. */
class PathMeasure : Measure {
    override val name: String = "path"

    override val summary: String = "what an instance adds over calling an engine directly"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport = LocalFleet(FLEET).use { fleet ->
        runBlocking(Dispatchers.Default) {
            fleet.awaitReady()
            StreamCaller(fleet.key, TOKENS).use { caller ->
                val run = PathRun(fleet, caller, request.seed)
                progress.tell("warming up")
                run.block(CONCURRENCY, WARM_UP_REQUESTS)
                progress.tell("one request at a time")
                val alone = run.block(1, request.steps ?: ALONE_REQUESTS)
                progress.tell("$CONCURRENCY requests at a time")
                val loaded = run.block(CONCURRENCY, request.steps ?: LOADED_REQUESTS)
                progress.tell("processor time")
                val processor = run.processorTime(PROCESSOR_BLOCKS, request.steps ?: PROCESSOR_REQUESTS)
                report(request.seed, alone, loaded, processor)
            }
        }
    }

    private fun report(seed: Long, alone: BothTimings, loaded: BothTimings, processor: ProcessorTime): MeasureReport {
        val heap = ManagementFactory.getMemoryMXBean().also { it.gc() }.heapMemoryUsage.used / BYTES_PER_MEBIBYTE
        val added = processor.throughMicroseconds - processor.directMicroseconds
        return MeasureReport(
            measure = name,
            seed = seed,
            parameters = mapOf("tokens of an answer" to "$TOKENS", "requests at a time under load" to "$CONCURRENCY"),
            figures = figures("alone", alone) + figures("under load", loaded) + mapOf(
                "processor time direct [us/request]" to processor.directMicroseconds,
                "processor time through an instance [us/request]" to processor.throughMicroseconds,
                "requests of an instance [1/s/core]" to MICROSECONDS_PER_SECOND / added,
                "heap of the whole process [MiB]" to heap,
            ),
            goals = goals(loaded) + goal(
                "answers that were not whole [count]",
                Comparison.EQUAL,
                0.0,
                (alone.failed + loaded.failed).toDouble(),
            ),
        )
    }

    private fun figures(phase: String, timings: BothTimings): Map<String, Double> = PERCENTILES.flatMap { percentile ->
        listOf(
            "$phase: first token p$percentile direct [ms]" to milliseconds(timings.direct.firstToken, percentile),
            "$phase: first token p$percentile through [ms]" to milliseconds(timings.through.firstToken, percentile),
            "$phase: next token p$percentile direct [ms]" to milliseconds(timings.direct.nextToken, percentile),
            "$phase: next token p$percentile through [ms]" to milliseconds(timings.through.nextToken, percentile),
        )
    }.toMap()

    private fun goals(loaded: BothTimings): List<Goal> = listOf(
        goal("added to the first token p50 under load [ms]", Comparison.BELOW, MEDIAN_BOUND, loaded.addedFirst(MEDIAN)),
        goal("added to the first token p99 under load [ms]", Comparison.BELOW, HIGH_BOUND, loaded.addedFirst(HIGH)),
        goal("added to each token p50 under load [ms]", Comparison.BELOW, MEDIAN_BOUND, loaded.addedNext(MEDIAN)),
        goal("added to each token p99 under load [ms]", Comparison.BELOW, HIGH_BOUND, loaded.addedNext(HIGH)),
    )

    private companion object {
        const val TOKENS = 16
        const val CONCURRENCY = 16
        const val WARM_UP_REQUESTS = 4_000
        const val ALONE_REQUESTS = 500
        const val LOADED_REQUESTS = 4_000
        const val PROCESSOR_REQUESTS = 1_000
        const val PROCESSOR_BLOCKS = 4
        const val MEDIAN = 50.0
        const val HIGH = 99.0
        const val MEDIAN_BOUND = 1.0
        const val HIGH_BOUND = 5.0
        const val MICROSECONDS_PER_SECOND = 1e6
        const val BYTES_PER_MEBIBYTE = 1_048_576.0
        val PERCENTILES = listOf(MEDIAN, HIGH)
        val FLEET = LocalFleetSettings(
            instances = 1,
            dataCentres = 1,
            enginesPerDataCentre = 1,
            cost = EngineCost(iteration = 2.milliseconds, stream = 5.microseconds),
        )
    }
}

internal fun milliseconds(histogram: Histogram, percentile: Double): Double =
    histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND

private const val NANOSECONDS_PER_MILLISECOND = 1e6

/** Times of the same calls, made directly and through an instance. */
internal class BothTimings(
    val direct: StreamTimings,
    val through: StreamTimings,
) {
    /** How many answers were not whole. */
    val failed: Long get() = direct.failed + through.failed

    /** Returns what the instance adds to the first token at [percentile], in milliseconds. */
    fun addedFirst(percentile: Double): Double =
        milliseconds(through.firstToken, percentile) - milliseconds(direct.firstToken, percentile)

    /** Returns what the instance adds to the time between tokens at [percentile], in milliseconds. */
    fun addedNext(percentile: Double): Double =
        milliseconds(through.nextToken, percentile) - milliseconds(direct.nextToken, percentile)
}

/** Processor time of the whole process per request: callers, engine and, in one case, the instance. */
internal class ProcessorTime(
    val directMicroseconds: Double,
    val throughMicroseconds: Double,
)

private class PathRun(
    private val fleet: LocalFleet,
    private val caller: StreamCaller,
    private val seed: Long,
) {
    private val system =
        ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean

    /** Makes [requests] calls, [concurrency] at a time, directly and through the instance in random order. */
    suspend fun block(concurrency: Int, requests: Int): BothTimings {
        val timings = BothTimings(StreamTimings(), StreamTimings())
        inParallel(concurrency, requests) { number ->
            if (Random(
                    seed + number,
                ).nextBoolean()
            ) {
                direct(number, timings.direct)
            } else {
                through(number, timings.through)
            }
        }
        return timings
    }

    /** Returns the processor time of calls in [blocks] blocks of [requests] of each way, in turn. */
    suspend fun processorTime(blocks: Int, requests: Int): ProcessorTime {
        var direct = 0L
        var through = 0L
        val timings = StreamTimings()
        repeat(blocks) {
            direct += processorNanoseconds { inParallel(BLOCK_CONCURRENCY, requests) { direct(it, timings) } }
            through += processorNanoseconds { inParallel(BLOCK_CONCURRENCY, requests) { through(it, timings) } }
        }
        val calls = blocks * requests * NANOSECONDS_PER_MICROSECOND
        return ProcessorTime(direct / calls, through / calls)
    }

    private suspend fun processorNanoseconds(work: suspend () -> Unit): Long {
        val before = system.processCpuTime
        work()
        return system.processCpuTime - before
    }

    private suspend fun direct(number: Int, timings: StreamTimings) =
        caller.call(fleet.engineAddresses.first(), number, timings)

    private suspend fun through(number: Int, timings: StreamTimings) =
        caller.call(fleet.instances.first().callerAddress, number, timings)

    private suspend fun inParallel(concurrency: Int, requests: Int, call: suspend (Int) -> Unit) = coroutineScope {
        repeat(concurrency) { worker ->
            launch { for (number in worker until requests step concurrency) call(number) }
        }
    }

    private companion object {
        const val BLOCK_CONCURRENCY = 16
        const val NANOSECONDS_PER_MICROSECOND = 1e3
    }
}
