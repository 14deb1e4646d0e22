package org.nutmegspring.node.routing

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.routing.EndpointTable
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** What the chooser knows of the other instances. */
interface RoutingPeers {
    /** Returns how many instances send to the same endpoints, this one included. */
    fun senders(): Int

    /** Returns the endpoints that some instance has found to be departing. */
    fun departing(): Set<EndpointId>

    /** Tells the other instances that [endpoint] is departing. */
    fun reportDeparting(endpoint: EndpointId)
}

/**
 * Where the chooser gets what it knows.
 *
 * @property weight returns an organisation's share relative to others
 */
class ChooserSources(
    val dataCentre: DataCentreId,
    val lists: PlatformLists,
    val loads: LoadReports,
    val peers: RoutingPeers,
    val clock: MonotonicClock,
    val weight: (OrganisationId) -> Int,
)

/**
 * The intervals of the chooser.
 *
 * @property reportLag how old a report is taken to be when it arrives
 * @property readsPerSecond the most load reports that are read in a second
 */
data class ChooserIntervals(
    val list: Duration = 1.seconds,
    val report: Duration = 250.milliseconds,
    val reportLag: Duration = 250.milliseconds,
    val readsPerSecond: Int = 50,
)

/**
 * Chooses endpoints by the load that engines report, the work that this instance sent since, and cached pieces. Holds
 * generations that would miss their latency goals until they are met or refuses them.
 *
 * One lock guards the table of endpoints and the queues. Nothing is called and no other lock is taken under it.
 */
class LoadAwareChooser(
    private val sources: ChooserSources,
    private val intervals: ChooserIntervals,
    meters: MeterRegistry,
    random: Random = Random.Default,
) : EndpointChooser {
    private val lock = Any()
    private val clock = sources.clock
    private val table = EndpointTable(sources.dataCentre, EngineCosts(), random)
    private val held = HeldGenerations(table)
    private val metrics = RoutingMetrics(meters) { synchronized(lock) { table.countEndpoints(clock.now()) } }
    private val reading = HashSet<EndpointId>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val firstReport = CompletableDeferred<Unit>()

    /** Starts reading the platform's list and the engines' reports in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { keepListing() }
        scope.launch { keepReading(scope) }
        scope.launch { keepServing() }
    }

    /** Waits until some engine has reported, and at most [timeout]. */
    suspend fun awaitFirstReport(timeout: Duration) {
        withTimeoutOrNull(timeout) { firstReport.await() }
    }

    override fun models(): Set<ModelId> = synchronized(lock) { table.runningModels() }

    override suspend fun choose(work: Work, exclude: Set<EndpointId>): Either<Failure, ChosenEndpoint> = when (work) {
        is Work.Generation -> chooseEngine(work, exclude)
        is Work.ServiceCall -> chooseService(work, exclude)
    }

    private fun chooseService(work: Work.ServiceCall, exclude: Set<EndpointId>): Either<Failure, ChosenEndpoint> =
        synchronized(lock) {
            val now = clock.now()
            val endpoint = table.chooseService(work.service, exclude, now) ?: return unavailable("no endpoint").left()
            table.recordStart(endpoint.id, now)
            chosen(endpoint).right()
        }

    private suspend fun chooseEngine(work: Work.Generation, exclude: Set<EndpointId>): Either<Failure, ChosenEndpoint> {
        val request = HeldGeneration(work.model, demand(work), exclude, work.organisation)
        val weight = sources.weight(work.organisation)
        val begun = clock.now()
        synchronized(lock) { held.offer(request, weight, begun) }.forEach { it.complete() }
        wake.trySend(Unit)
        val outcome = try {
            request.await()
        } finally {
            synchronized(lock) { held.withdraw(request, clock.now()) }
        }
        metrics.waited(clock.now() - begun, outcome)
        return when (outcome) {
            is HeldOutcome.Placed -> chosen(outcome.endpoint).right()
            is HeldOutcome.Refused -> unavailable(outcome.reason, outcome.retryAfter).left()
        }
    }

    private fun demand(work: Work.Generation) = GenerationDemand(
        pieces = work.pieces,
        promptTokens = work.promptTokens.coerceIn(1, Int.MAX_VALUE.toLong()).toInt(),
        outputTokens = work.maximumOutputTokens.coerceIn(1, Int.MAX_VALUE.toLong()).toInt(),
        origin = sources.dataCentre,
    )

    private suspend fun keepListing() {
        var listed = emptyList<ListedEndpoint>()
        while (true) {
            listed = sources.lists.endpoints().getOrElse {
                logger.debug { "the list of endpoints could not be read: $it" }
                listed
            }
            listed.filter {
                it.state == ListedState.DEPARTING
            }.forEach { sources.peers.reportDeparting(it.endpoint.id) }
            val departing = sources.peers.departing()
            val instances = sources.peers.senders()
            synchronized(lock) { table.update(listed, departing, instances) }
            delay(intervals.list)
        }
    }

    private suspend fun keepReading(scope: CoroutineScope) {
        while (true) {
            val engines = synchronized(lock) { table.listedEngines().filter { reading.add(it.id) } }
            engines.forEach { engine -> scope.launch { read(engine) } }
            delay(maxOf(intervals.report, 1.seconds * engines.size / intervals.readsPerSecond))
        }
    }

    private suspend fun read(engine: EndpointDescription) {
        try {
            val report = sources.loads.read(engine)
            synchronized(lock) {
                val now = clock.now()
                report.fold(
                    { table.recordMissedReport(engine.id) },
                    { table.applyReport(it, now, intervals.reportLag) },
                )
            }
            if (report.isRight()) firstReport.complete(Unit)
        } finally {
            synchronized(lock) { reading.remove(engine.id) }
        }
    }

    private suspend fun keepServing() {
        while (true) {
            wake.receive()
            while (synchronized(lock) { held.size > 0 }) {
                synchronized(lock) { held.serve(clock.now()) }.forEach { it.complete() }
                delay(SERVE_INTERVAL)
            }
        }
    }

    private fun unavailable(reason: String, retryAfter: Duration = RETRY_AFTER) =
        Failure(Step.CHOOSE_ENDPOINT, Peer.SELF, Effect.NOT_RUN, reason, retryAfter)

    private fun chosen(endpoint: EndpointDescription): ChosenEndpoint = Choice(endpoint)

    private inner class Choice(override val endpoint: EndpointDescription) : ChosenEndpoint {
        private var ended = false

        override fun answered(delay: Duration) = metrics.answered(delay)

        override fun finished(failed: Boolean) {
            synchronized(lock) {
                if (ended) return
                ended = true
                table.recordCompletion(endpoint.id, failed, clock.now())
            }
            metrics.finished(failed)
        }
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
        val SERVE_INTERVAL = 10.milliseconds
    }
}
