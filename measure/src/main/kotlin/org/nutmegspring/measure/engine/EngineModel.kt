package org.nutmegspring.measure.engine

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import org.nutmegspring.routing.EngineCosts
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A model engine with continuous batching on virtual time.
 *
 * An iteration gives each running stream one token and processes waiting prompts in the order of their arrival, up to
 * a budget of tokens. A prompt skips the leading pieces that are cached when its prefill starts.
 */
class EngineModel(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    private val costs: EngineCosts,
    cacheCapacity: Int,
    private val schedule: VirtualSchedule,
) {
    private val waiting = ArrayDeque<EngineJob>()
    private val streams = PriorityQueue<EngineJob>(compareBy { it.lastIteration })
    private val cache = PrefixCache(cacheCapacity)
    private var iteration = 0L
    private var running = false
    private var reports = 0L
    private var started: EngineJob? = null

    /** The role that the engine has. */
    var role: EngineRole = EngineRole.MIXED
        private set

    /** The role that the engine has or is changing to. */
    var planned: EngineRole = EngineRole.MIXED
        private set

    /** Whether a change of role is under way. */
    var changing: Boolean = false
        private set

    /** Seconds spent on prompts and streams, without the fixed part of the iterations. */
    var workSeconds: Double = 0.0
        private set

    /** How many requests run or wait. */
    val load: Int get() = waiting.size + streams.size

    /** Whether nothing runs or waits. */
    val idle: Boolean get() = waiting.isEmpty() && streams.isEmpty()

    /** Adds [job]. */
    fun submit(job: EngineJob) {
        if (job.part == JobPart.DECODE) startStream(job) else waiting.addLast(job)
        startIteration()
    }

    /** Sets the role before the engine is used. */
    fun begin(initial: EngineRole) {
        role = initial
        planned = initial
    }

    /** Changes the role to [target], once idle, and takes [duration] for it. */
    fun changeRole(target: EngineRole, duration: Duration) {
        changing = true
        planned = target
        attemptChange(target, duration)
    }

    private fun attemptChange(target: EngineRole, duration: Duration) {
        if (!idle) {
            schedule.after(CHANGE_CHECK_INTERVAL) { attemptChange(target, duration) }
            return
        }
        schedule.after(duration) {
            role = target
            changing = false
        }
    }

    /** Returns a report of the load and of the cache events since the last report. */
    fun report(): LoadReport = LoadReport(
        engine = id,
        target = EngineTarget(role, MODEL, VERSION),
        changing = changing,
        queuedPromptTokens = waiting.sumOf { estimatedPrefill(it) },
        activeStreams = streams.size,
        queuedRequests = waiting.count { it.part == JobPart.WHOLE },
        sequence = ++reports,
        cachedPieces = cache.takeChanges(),
    )

    private fun estimatedPrefill(job: EngineJob): Long =
        if (job === started) job.remainingPrefill.toLong() else uncached(job).toLong()

    private fun uncached(job: EngineJob): Int =
        maxOf(1, job.promptTokens - cache.leading(job.pieces) * TOKENS_PER_PIECE)

    private fun startIteration() {
        if (running || idle) return
        running = true
        val finished = ArrayList<EngineJob>()
        val tokens = prefill(finished)
        val seconds = costs.computeIterationSeconds(tokens.toDouble(), streams.size.toDouble())
        workSeconds += seconds - costs.fixedIterationSeconds
        schedule.after((seconds * NANOSECONDS_PER_SECOND).toLong().nanoseconds) { endIteration(finished) }
    }

    private fun prefill(finished: MutableList<EngineJob>): Int {
        var budget = costs.prefillTokensPerIteration
        while (budget > 0) {
            val job = waiting.firstOrNull() ?: break
            if (job !== started) {
                started = job
                job.remainingPrefill = uncached(job)
            }
            val tokens = minOf(budget, job.remainingPrefill)
            job.remainingPrefill -= tokens
            budget -= tokens
            if (job.remainingPrefill == 0) finished.add(waiting.removeFirst())
        }
        return costs.prefillTokensPerIteration - budget
    }

    private fun endIteration(prefilled: List<EngineJob>) {
        iteration++
        running = false
        val time = schedule.now()
        while (streams.isNotEmpty() && streams.peek().lastIteration <= iteration) {
            streams.poll().listener.onFinished(time)
        }
        prefilled.forEach { endPrefill(it) }
        startIteration()
    }

    private fun endPrefill(job: EngineJob) {
        val cachedTokens = cache.leading(job.pieces) * TOKENS_PER_PIECE
        cache.add(job.pieces)
        job.listener.onFirstToken(schedule.now(), cachedTokens)
        when {
            job.part == JobPart.PREFILL || job.outputTokens <= 1 -> job.listener.onFinished(schedule.now())
            else -> startStream(job)
        }
    }

    private fun startStream(job: EngineJob) {
        val runs = if (running) 1 else 0
        job.lastIteration = iteration + runs + job.outputTokens - 1
        streams.add(job)
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
        val CHANGE_CHECK_INTERVAL = 50_000_000.nanoseconds
        val MODEL = ModelId("model")
        const val VERSION = "1"
    }
}
