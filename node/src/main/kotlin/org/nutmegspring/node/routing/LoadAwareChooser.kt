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

/** Exchanges routing information with the other instances. */
interface RoutingPeers {
    /** Returns the number of instances, including this one, that send to the same endpoints. */
    fun countSenders(): Int

    /** Returns the endpoints that any instance has reported as departing. */
    fun departingEndpoints(): Set<EndpointId>

    /** Reports to the other instances that [endpoint] is departing. */
    fun reportDeparting(endpoint: EndpointId)
}

/**
 * The sources of the information on which the chooser bases its decisions.
 *
 * @property weight returns the weight of an organisation relative to the others in the admission queue
 */
class ChooserSources(
    val dataCentre: DataCentreId,
    val lists: PlatformLists,
    val loadReports: LoadReportReader,
    val peers: RoutingPeers,
    val clock: MonotonicClock,
    val weight: (OrganisationId) -> Int,
)

/**
 * The timing of the chooser.
 *
 * @property listInterval the time between two reads of the platform's list of endpoints
 * @property reportInterval the minimum time between two reads of an engine's load report
 * @property assumedReportAge the assumed age of a load report at its arrival
 * @property maximumReadsPerSecond the maximum average rate of load report reads; with many engines, the time between
 * two reads of an engine becomes longer than [reportInterval]
 */
data class ChooserTiming(
    val listInterval: Duration = 1.seconds,
    val reportInterval: Duration = 250.milliseconds,
    val assumedReportAge: Duration = 250.milliseconds,
    val maximumReadsPerSecond: Int = 50,
)

/**
 * Chooses endpoints by the load that engines report, the work that this instance has sent since then, and the prompt
 * pieces in their caches. Generations that would miss their latency objectives are queued until the objectives can be
 * met, or refused.
 *
 * A single lock guards the endpoint table and the queues. While it is held, no remote call is made and no other lock is
 * taken.
 */
class LoadAwareChooser(
    private val sources: ChooserSources,
    private val timing: ChooserTiming,
    meters: MeterRegistry,
    random: Random = Random.Default,
) : EndpointChooser {
    private val lock = Any()
    private val clock = sources.clock
    private val table = EndpointTable(sources.dataCentre, EngineCosts(), random)
    private val placer = GenerationPlacer(table)
    private val metrics = RoutingMetrics(meters) { synchronized(lock) { table.countEndpoints(clock.now()) } }

    /** The engines whose load report is being read, so that reads of one engine do not overlap. */
    private val pendingReads = HashSet<EndpointId>()
    private val queueSignal = Channel<Unit>(Channel.CONFLATED)
    private val firstReport = CompletableDeferred<Unit>()

    /** Starts the background jobs in [scope] that read the platform's list and load reports and process the queues. */
    fun start(scope: CoroutineScope) {
        scope.launch { refreshListPeriodically() }
        scope.launch { readReportsPeriodically(scope) }
        scope.launch { processQueuesPeriodically() }
    }

    /** Waits until the first load report has been read, but at most for [timeout]. */
    suspend fun awaitFirstReport(timeout: Duration) {
        withTimeoutOrNull(timeout) { firstReport.await() }
    }

    override fun runningModels(): Set<ModelId> = synchronized(lock) { table.runningModels() }

    override suspend fun choose(work: Work, excluded: Set<EndpointId>): Either<Failure, ChosenEndpoint> = when (work) {
        is Work.Generation -> chooseEngine(work, excluded)
        is Work.ServiceCall -> chooseService(work, excluded)
    }

    private fun chooseService(work: Work.ServiceCall, excluded: Set<EndpointId>): Either<Failure, ChosenEndpoint> =
        synchronized(lock) {
            val now = clock.now()
            val endpoint = table.chooseService(work.service, excluded, now)
                ?: return createUnavailableFailure("no endpoint is available").left()
            table.recordStart(endpoint.id, now)
            createChoice(endpoint).right()
        }

    private suspend fun chooseEngine(
        work: Work.Generation,
        excluded: Set<EndpointId>,
    ): Either<Failure, ChosenEndpoint> {
        val request = PendingGeneration(work.model, createDemand(work), excluded, work.organisation)
        val weight = sources.weight(work.organisation)
        val startedAt = clock.now()
        synchronized(lock) { placer.placeOrEnqueue(request, weight, startedAt) }.forEach { it.complete() }
        queueSignal.trySend(Unit)
        val outcome = try {
            request.await()
        } finally {
            synchronized(lock) { placer.withdraw(request, clock.now()) }
        }
        metrics.recordAdmissionWait(clock.now() - startedAt, outcome)
        return when (outcome) {
            is PlacementOutcome.Placed -> createChoice(outcome.endpoint).right()
            is PlacementOutcome.Refused -> createUnavailableFailure(outcome.reason, outcome.retryAfter).left()
        }
    }

    private fun createDemand(work: Work.Generation) = GenerationDemand(
        pieces = work.pieces,
        promptTokens = work.promptTokens.coerceIn(1, Int.MAX_VALUE.toLong()).toInt(),
        outputTokens = work.maximumOutputTokens.coerceIn(1, Int.MAX_VALUE.toLong()).toInt(),
        origin = sources.dataCentre,
    )

    private suspend fun refreshListPeriodically() {
        var listed = emptyList<ListedEndpoint>()
        while (true) {
            listed = sources.lists.endpoints().getOrElse {
                logger.debug { "the list of endpoints could not be read: $it" }
                listed
            }
            listed.filter {
                it.state == ListedState.DEPARTING
            }.forEach { sources.peers.reportDeparting(it.endpoint.id) }
            val departing = sources.peers.departingEndpoints()
            val instances = sources.peers.countSenders()
            synchronized(lock) { table.update(listed, departing, instances) }
            delay(timing.listInterval)
        }
    }

    private suspend fun readReportsPeriodically(scope: CoroutineScope) {
        while (true) {
            val engines = synchronized(lock) { table.listedEngines().filter { pendingReads.add(it.id) } }
            engines.forEach { engine -> scope.launch { readReport(engine) } }
            delay(maxOf(timing.reportInterval, 1.seconds * engines.size / timing.maximumReadsPerSecond))
        }
    }

    private suspend fun readReport(engine: EndpointDescription) {
        try {
            val report = sources.loadReports.read(engine)
            synchronized(lock) {
                val now = clock.now()
                report.fold(
                    { table.recordMissedReport(engine.id) },
                    { table.applyReport(it, now, timing.assumedReportAge) },
                )
            }
            if (report.isRight()) firstReport.complete(Unit)
        } finally {
            synchronized(lock) { pendingReads.remove(engine.id) }
        }
    }

    private suspend fun processQueuesPeriodically() {
        while (true) {
            queueSignal.receive()
            while (synchronized(lock) { placer.queuedCount > 0 }) {
                synchronized(lock) { placer.processQueues(clock.now()) }.forEach { it.complete() }
                delay(QUEUE_INTERVAL)
            }
        }
    }

    private fun createUnavailableFailure(reason: String, retryAfter: Duration = RETRY_AFTER) =
        Failure(Step.CHOOSE_ENDPOINT, Peer.SELF, Effect.NOT_RUN, reason, retryAfter)

    private fun createChoice(endpoint: EndpointDescription): ChosenEndpoint = Choice(endpoint)

    private inner class Choice(override val endpoint: EndpointDescription) : ChosenEndpoint {
        private var isCompleted = false

        override fun recordFirstAnswer(delay: Duration) = metrics.recordFirstAnswer(delay)

        override fun recordCompletion(failed: Boolean) {
            synchronized(lock) {
                if (isCompleted) return
                isCompleted = true
                table.recordCompletion(endpoint.id, failed, clock.now())
            }
            metrics.recordCompletion(failed)
        }
    }

    private companion object {
        /** The retry delay of a failure that states no other delay. */
        val RETRY_AFTER = 1.seconds

        /** The time between two attempts to place the queued generations. */
        val QUEUE_INTERVAL = 10.milliseconds
    }
}
