package org.nutmegspring.standin.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.prompt.hashPromptPieces
import org.nutmegspring.standin.server.StandInServer
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of an engine stand-in.
 *
 * @property reportInterval how often the load report, and with it the cache events, is renewed
 * @property cacheEventLossShare the share of cache events that are never published
 * @property idleLimitSeconds how long a connection may be idle before the engine closes it
 */
data class EngineStandInSettings(
    val description: EndpointDescription,
    val target: EngineTarget = EngineTarget(EngineRole.MIXED, ModelId("ledger-small"), "1"),
    val cost: EngineCost = EngineCost(),
    val maximumStreams: Int = 64,
    val cachedPieces: Int = 512,
    val cacheEventLossShare: Double = 0.02,
    val reportInterval: Duration = 250.milliseconds,
    val changeTime: Duration = 3.seconds,
    val idleLimitSeconds: Int = 30,
    val seed: Long = 1,
)

/** A small stand-in of a model engine with continuous batching and a prefix cache. */
class EngineStandIn(val settings: EngineStandInSettings) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val cache = PrefixCache(settings.cachedPieces, settings.cacheEventLossShare, Random(settings.seed))
    private val batch = EngineBatch(settings.cost, cache, settings.maximumStreams)
    private val orders = EngineOrders(settings.target, settings.description.fencing, settings.changeTime)
    private val startedRequests = AtomicLong()
    private val credentials = AtomicLong()
    private var server: StandInServer? = null

    /** How many requests carried an `Authorization` header. */
    val credentialsSeen: Long get() = credentials.get()

    /** How many requests have started. */
    val started: Long get() = startedRequests.get()

    /** The load report that readers see. */
    @Volatile
    var report: LoadReport = currentReport(0)
        private set

    /** Whether the engine takes work now. */
    val available: Boolean get() = !orders.changing

    /** Serves the API at [host] and [port]; port 0 takes a free one. */
    fun start(host: String, port: Int): StandInServer {
        batch.start(scope)
        scope.launch { publishReports() }
        return startEngineServer(this, host, port).also { server = it }
    }

    /** Returns what the engine tells of itself without lag. */
    fun state(): EngineState = EngineState(
        orders.target,
        orders.changing,
        orders.acceptedSequence,
        orders.acceptedFencing,
        batch.load().let { it.activeStreams + it.queuedRequests },
    )

    /** Accepts [order] and returns whether it was accepted. A change of the target drops the running requests. */
    fun order(order: EngineOrder): Boolean = orders.accept(order, scope) { batch.cut() }

    /** Counts a request that carried an `Authorization` header. */
    internal fun noteCredentials() {
        credentials.incrementAndGet()
    }

    /** Starts a request that has [alreadySent] of its tokens. */
    fun begin(id: String, priority: Int, prompt: String, maximumTokens: Long, alreadySent: Long): EngineJob {
        startedRequests.incrementAndGet()
        val text = GeneratedText(prompt)
        val end = minOf(text.length, maximumTokens)
        val job = EngineJob(id, priority, text, hashPromptPieces(orders.target.model, prompt), alreadySent, end)
        if (alreadySent < end) batch.add(job) else job.tokens.close()
        return job
    }

    /** Returns the positions of the tokens of [job] as they are generated. */
    fun tokensOf(job: EngineJob): ReceiveChannel<Long> = job.tokens

    /** Ends [job]. */
    fun end(job: EngineJob) = batch.remove(job)

    /** Cancels the request with [id]. */
    fun cancel(id: String): Boolean = batch.cancel(id)

    /** Returns the cached pieces. */
    fun exportCache(): List<Long> = cache.export()

    /** Caches [pieces]. */
    fun importCache(pieces: List<Long>) = cache.add(pieces)

    override fun close() {
        server?.close()
        scope.cancel()
    }

    private suspend fun publishReports() {
        var sequence = 1L
        while (scope.isActive) {
            delay(settings.reportInterval)
            report = currentReport(sequence++)
        }
    }

    private fun currentReport(sequence: Long): LoadReport {
        val load = batch.load()
        return LoadReport(
            engine = EndpointId(settings.description.id.value),
            target = orders.target,
            changing = orders.changing,
            queuedPromptTokens = load.queuedPromptTokens,
            activeStreams = load.activeStreams,
            queuedRequests = load.queuedRequests,
            sequence = sequence,
            cachedPieces = cache.takeEvents(),
        )
    }
}
