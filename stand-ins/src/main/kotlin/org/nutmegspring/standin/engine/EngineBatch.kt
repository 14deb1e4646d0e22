package org.nutmegspring.standin.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.nutmegspring.prompt.TOKENS_PER_PIECE
import java.io.IOException

/** One request in an engine. [next] counts the tokens sent, [end] is the position after the last. */
class EngineJob internal constructor(
    val id: String,
    val priority: Int,
    val text: GeneratedText,
    internal val pieces: List<Long>,
    internal var next: Long,
    internal val end: Long,
) {
    internal val tokens = Channel<Long>(Channel.UNLIMITED)
    internal var prefillTokens = 0L
    internal var admitted = false
}

/**
 * Runs jobs in iterations: each processes some prompt tokens and then generates one token for every job whose prompt
 * is processed.
 */
class EngineBatch(
    private val cost: EngineCost,
    private val cache: PrefixCache,
    private val maximumStreams: Int,
) {
    private val jobs = ArrayList<EngineJob>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Starts the iterations in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                if (!iterate()) wake.receive()
            }
        }
    }

    /** Adds [job]. Its tokens arrive in its channel. */
    fun add(job: EngineJob) {
        synchronized(jobs) { jobs.add(job) }
        wake.trySend(Unit)
    }

    /** Removes [job], finished or not. */
    fun remove(job: EngineJob) {
        synchronized(jobs) { jobs.remove(job) }
        job.tokens.close()
    }

    /** Removes the job with [id] and ends its stream as failed. */
    fun cancel(id: String): Boolean {
        val job = synchronized(jobs) { jobs.find { it.id == id }?.also { jobs.remove(it) } } ?: return false
        job.tokens.close(IOException("cancelled"))
        return true
    }

    /** Ends all jobs as failed. */
    fun cut() {
        val cut = synchronized(jobs) { jobs.toList().also { jobs.clear() } }
        cut.forEach { it.tokens.close(IOException("the engine dropped the request")) }
    }

    /** Returns the load now. */
    fun load(): BatchLoad = synchronized(jobs) {
        BatchLoad(
            queuedPromptTokens = jobs.sumOf { it.prefillTokens },
            activeStreams = jobs.count { it.admitted && it.prefillTokens == 0L },
            queuedRequests = jobs.count { !it.admitted || it.prefillTokens > 0 },
        )
    }

    private suspend fun iterate(): Boolean {
        val running = admit()
        if (running.isEmpty()) return false
        val prefilled = prefill(running)
        val streams = running.filter { it.prefillTokens == 0L }
        delay(cost.of(prefilled, streams.size))
        streams.forEach { generate(it) }
        return true
    }

    private fun admit(): List<EngineJob> = synchronized(jobs) {
        val ordered = jobs.sortedByDescending { it.priority }.take(maximumStreams)
        ordered.filterNot { it.admitted }.forEach { job ->
            val cachedTokens = cache.use(job.pieces) * TOKENS_PER_PIECE.toLong()
            job.prefillTokens = maxOf(0, job.text.promptTokens - cachedTokens)
            job.admitted = true
        }
        ordered
    }

    private fun prefill(running: List<EngineJob>): Long {
        var budget = cost.prefillTokensPerIteration
        running.forEach { job ->
            val processed = minOf(budget, job.prefillTokens)
            job.prefillTokens -= processed
            budget -= processed
        }
        return cost.prefillTokensPerIteration - budget
    }

    private fun generate(job: EngineJob) {
        job.tokens.trySend(job.next++)
        if (job.next >= job.end) remove(job)
    }
}

/** The load of a batch. */
data class BatchLoad(
    val queuedPromptTokens: Long,
    val activeStreams: Int,
    val queuedRequests: Int,
)
