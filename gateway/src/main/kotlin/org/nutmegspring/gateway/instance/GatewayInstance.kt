package org.nutmegspring.gateway.instance

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.nutmegspring.admission.QueueWaitLimit
import org.nutmegspring.evacuation.EvacuationState
import org.nutmegspring.gateway.duties.FleetDemands
import org.nutmegspring.gateway.endpoints.ColdEndpoints
import org.nutmegspring.gateway.endpoints.EndpointChange
import org.nutmegspring.gateway.endpoints.EndpointErrors
import org.nutmegspring.gateway.endpoints.EndpointListCurrency
import org.nutmegspring.gateway.endpoints.EndpointRestraints
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.endpoints.InstanceTurns
import org.nutmegspring.gateway.forwarding.Admission
import org.nutmegspring.gateway.forwarding.CrashGuard
import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.forwarding.DemandCounter
import org.nutmegspring.gateway.forwarding.EndpointLimits
import org.nutmegspring.gateway.forwarding.EndpointSender
import org.nutmegspring.gateway.forwarding.EngineChoice
import org.nutmegspring.gateway.forwarding.EngineProbes
import org.nutmegspring.gateway.forwarding.GatewayHandler
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.forwarding.RequestRecorder
import org.nutmegspring.gateway.forwarding.RunningRequests
import org.nutmegspring.gateway.forwarding.ServiceForwarder
import org.nutmegspring.gateway.forwarding.ServiceRetries
import org.nutmegspring.gateway.forwarding.StreamForwarder
import org.nutmegspring.gateway.forwarding.UsageCounter
import org.nutmegspring.gateway.http.CallerMemory
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.http.EventLoop
import org.nutmegspring.gateway.http.EventLoopWatch
import org.nutmegspring.gateway.http.HttpServer
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.http.ServerLimits
import org.nutmegspring.gateway.http.defaultMemoryBounds
import org.nutmegspring.gateway.http.startHttpServer
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.EventLoopDelay
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.PlannedStopLog
import org.nutmegspring.gateway.peers.AddressedReport
import org.nutmegspring.gateway.peers.InstanceRecord
import org.nutmegspring.gateway.peers.OwnAddress
import org.nutmegspring.gateway.peers.PeerExchange
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.ReportPacing
import org.nutmegspring.gateway.settings.GatewaySettings
import org.nutmegspring.gateway.store.StoreHistory
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.limits.ColdPolicy
import org.nutmegspring.membership.CallerTarget
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.placement.PlacementRule
import org.nutmegspring.placement.ServicePlacement
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.SuspensionAwareAges
import org.nutmegspring.time.systemMonotonicClock
import org.nutmegspring.usage.WindowCounts
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A running instance of the gateway: its servers, feeds, peer exchange and duties. */
class GatewayInstance internal constructor(
    initial: GatewaySettings,
    platformFactory: PlatformFactory,
    private val log: DecisionLog,
    endProcess: (String) -> Unit,
    private val wallClockMilliseconds: () -> Long,
) {
    private var settings = initial
    private val loop = EventLoop { endProcess("the memory is exhausted: $it") }
    private val loopWatch = EventLoopWatch(loop, onDead = endProcess)
    private val callerMemory = CallerMemory(
        loop,
        defaultMemoryBounds(initial.memory.callerBytes, initial.memory.connections),
    )
    private val failures = CoroutineExceptionHandler { _, cause ->
        if (cause is OutOfMemoryError) endProcess("the memory is exhausted: $cause")
        log.record(DecisionEvent.Skipped("a task of the instance", cause.stackTraceToString()))
    }
    private val scope = CoroutineScope(loop.dispatcher + SupervisorJob() + failures)
    private val tasks = LastingTasks(scope, log)
    private val clock = systemMonotonicClock()
    private val ages = SuspensionAwareAges(clock, wallClockMilliseconds)
    private val random = Random.Default
    private val self = initial.instance.id
    private val incarnation = Incarnation(random.nextLong())
    private val startedAtMilliseconds = wallClockMilliseconds()
    private val connections = EndpointConnections(loop, clock, CONNECT_TIMEOUT, ages = ages)
    private val history =
        StoreHistory(clock) { previous, era -> log.record(DecisionEvent.StoreRestored(previous, era)) }
    private val platform = platformFactory(connections, initial.platform, history) {
        log.record(DecisionEvent.Skipped("an object of the store", it))
    }
    private val metrics = GatewayMetrics()
    private val loopDelay = EventLoopDelay()
    private val registration = InstanceRegistration(
        platform.store,
        self,
        InstanceRecord(initial.addresses.exchange, initial.addresses.callers, initial.instance.dataCentre),
        log,
    )
    private val currentConfiguration = CurrentConfiguration(log)
    private val quotas = QuotaTable(clock, wallClockMilliseconds) { settings.bounds.toQuotaWindow() }
    private val peers = PeerTable(self, incarnation)
    private val turns =
        InstanceTurns(self, { peers.registered.keys }) { wallClockMilliseconds().milliseconds }
    private val errors = EndpointErrors(clock, log)

    /** Null where the settings had no bound for evacuations at the start. */
    private val evacuations = initial.bounds.evacuationMilliseconds?.let { EvacuationState(it.milliseconds) }
    private val cold = ColdEndpoints(clock, ages, ::findColdPolicy) { peers.isListed }
    private val restraints = EndpointRestraints(clock, log)
    private val endpoints = EndpointTable(
        ::findCacheCapacity,
        turns,
        ::permits,
        cold,
        restraints::timeUntilWork,
    ) { endpoint, change ->
        if (change == EndpointChange.APPEARED || change == EndpointChange.GONE) {
            connections.closeIdle(endpoint.address)
            errors.forget(endpoint)
        }
        log.record(DecisionEvent.EndpointChanged(endpoint, change))
    }
    private val listCurrency = EndpointListCurrency(endpoints, currentConfiguration.answers) {
        settings.bounds.departureMilliseconds.milliseconds
    }
    private val counts = WindowCounts(initial.bounds.usageWindow.inWholeMilliseconds)
    private val usage = UsageCounter(counts)
    private val limits = EndpointLimits(endpoints, clock, cold, log)
    private val sender = EndpointSender(connections, platform.dialect, limits, restraints)
    private val retries = ServiceRetries(clock, { settings.bounds.toRetryBounds() }) { peers.registered.size + 1 }
    private val pacing = ReportPacing(initial.instance.linkMegabitsPerSecond ?: DEFAULT_LINK_MEGABITS_PER_SECOND)
    private val engineChoice =
        EngineChoice(endpoints, sender, platform.dialect, retries, initial.instance.dataCentre, clock) {
            PlacementRule.select(pacing.computeInterval(bytes = 0, peers = peers.registered.size))
        }
    private val crashGuard =
        CrashGuard(EngineProbes(connections, ::permits, limits::tryContact), clock, log) { exchange.interval }
    private val demandCounter = DemandCounter()
    private val demands =
        FleetDemands(incarnation, demandCounter, ::listSizedServices, { peers.registered.size + 1 }, clock)
    private val running = RunningRequests(
        ServiceForwarder(
            endpoints,
            sender,
            ServicePlacement(random),
            retries,
            usage,
            initial.instance.dataCentre,
            clock,
            errors,
        ),
        StreamForwarder(
            engineChoice,
            sender,
            retries,
            usage,
            QueueWaitLimit(),
            crashGuard,
            errors,
            demandCounter,
        ),
    )
    private var phase = InstancePhase.JOINING
    private val servers = mutableListOf<HttpServer>()
    private val stopLog = PlannedStopLog(clock, loopDelay, log) { servers.readLoad(running.count) }
    private val duties = InstanceDuties(
        initial,
        LeaseHolder(self, incarnation),
        platform,
        DutyInputs(
            phase = { phase },
            readyPeers = { peers.readyInstances(clock.now()) },
            services = ::listServices,
            propagationTime = { exchange.interval * PROPAGATION_INTERVALS },
            storeEraAge = history::age,
            countRequests = { usage.sumWith(it, peers.windowCounts(it)) },
            endpoints = endpoints,
            demands = demands,
        ),
        clock,
        ages,
        log,
    )
    private val reports =
        PeerReports(self, peers, quotas, endpoints, crashGuard, limits, history, demands, clock, cold)

    private val composer = ReportComposer(
        LeaseHolder(self, incarnation),
        startedAtMilliseconds,
        peers,
        currentConfiguration,
        quotas,
        reports,
        engineChoice,
        usage,
        duties,
        pacing,
        InstanceClocks(clock, ages),
    )
    private val exchange: PeerExchange by lazy {
        PeerExchange(loop, settings.addresses.exchange, pacing, InstanceReceiver(reports, { feeds.inquiry }, log))
    }
    private val feeds = InstanceFeeds(
        self,
        initial.instance.dataCentre,
        peers,
        phase = { phase },
        ask = { address, question -> exchange.ask(address, question) },
        clock,
        ages,
        random,
    )

    private val gauges by lazy {
        InstanceGauges(
            currentConfiguration,
            endpoints,
            peers,
            connections,
            exchange.traffic,
            crashGuard,
            loopDelay,
            feeds.inquiry,
            InstanceClocks(clock, ages),
            { history.era.value },
            duties,
        )
    }

    private fun listServices() = currentConfiguration.configuration?.services?.values.orEmpty()

    private fun listSizedServices() = if (settings.spending.followsDemand) listServices() else emptyList()

    private fun composeReports(): List<AddressedReport> = composer.compose(phase, exchange.interval)

    private fun findCacheCapacity(service: ServiceId): Long =
        currentConfiguration.configuration?.services?.get(service)?.engines?.cacheCapacityTokens ?: DEFAULT_CACHE_TOKENS

    private fun permits(dataCentre: DataCentreId): Boolean = evacuations?.permits(dataCentre) ?: true

    private fun findColdPolicy(service: ServiceId): ColdPolicy? {
        val start = currentConfiguration.configuration?.services?.get(service)?.coldStart ?: return null
        val overage = settings.bounds.coldOverage ?: return null
        return ColdPolicy(start.duration, start.requestsPerSecond, overage, settings.bounds.coldSlack ?: 0.0)
    }

    private fun updateColdEndpoints(now: MonotonicTime) {
        val isAlone = peers.registered.isNotEmpty() && peers.liveReports(now).isEmpty()
        cold.recordActivity(endpoints.evidence.age(ages), isAlone)
        limits.logCold()
    }

    internal fun start() {
        log.record(DecisionEvent.PhaseChanged("starting", "instance $self, incarnation $incarnation"))
        // Opens the exchange, which what the servers answer depends on.
        gauges.register(metrics)
        callerMemory.budget.registerGauges(metrics)
        evacuations?.registerGauges(metrics, ages)
        metrics.registerGauge("gateway_cold_endpoints") { limits.countCold().toDouble() }
        metrics.registerGauge("gateway_running_requests") { running.count.toDouble() }
        metrics.registerGauge("gateway_failing_endpoints_avoided") { errors.avoidedCount.toDouble() }
        startServer(settings.addresses.metrics, BodilessServerLimits, createMetricsHandler(metrics::scrape))
        val keepSeconds = { minOf(ADDRESS_KEEP_SECONDS, settings.bounds.addressKeepSeconds ?: ADDRESS_KEEP_SECONDS) }
        startServer(
            settings.addresses.directory,
            BodilessServerLimits,
            createDirectoryHandler(platform.dialect, keepSeconds, ::listCallerTargets),
        )
        val readiness = createReadinessHandler(platform.dialect, ::isReady)
        startServer(settings.addresses.readiness, BodilessServerLimits, readiness)
        val limits =
            CallerServerLimits({ currentConfiguration.configuration?.limits }, { phase == InstancePhase.DRAINING })
        // Last, so that no caller is accepted when another address cannot be opened.
        startServer(settings.addresses.callers, limits, createGatewayHandler())
        startFeeds()
        tasks.start("registration") { registration.run() }
        tasks.start("reports") { exchange.run(::composeReports) }
        tasks.start("periodic") { runPeriodicTasks() }
        tasks.start("status") { logStatus() }
        duties.start(tasks)
        loopWatch.start()
    }

    /** Applies changed settings. Servers keep their addresses, and the instance its id, until a restart. */
    fun reload(changed: GatewaySettings) {
        settings = changed
        log.record(DecisionEvent.PhaseChanged(phase.name.lowercase(), "the settings were reloaded"))
    }

    /**
     * Withdraws from address answers, finishes running requests, and returns when the process can exit. A request that
     * is still running at the end gets a final answer.
     */
    suspend fun drain() = withContext(loop.dispatcher) {
        phase = InstancePhase.DRAINING
        InstanceStop(servers, running, stopLog, clock) { exchange.send(composeReports()) }
            .run(settings.bounds.stopSeconds.seconds)
        log.record(DecisionEvent.PhaseChanged("stopped", "the process ends"))
    }

    /** Cancels all tasks and closes the event loop. */
    fun close() {
        loopWatch.close()
        scope.cancel()
        loop.close()
    }

    private fun createGatewayHandler(): RequestHandler {
        val admission = Admission(
            currentConfiguration,
            ages,
            random,
            { listCurrency.isBehind(ages) },
            { settings.bounds.toAdmissionBounds() },
        )
        return GatewayHandler(
            platform.dialect,
            admission,
            quotas,
            retries,
            running,
            clock,
            loopDelay,
            RequestRecorder(currentConfiguration, clock, ages, log, metrics, loopDelay, stopLog),
            log,
            random,
        )
    }

    private fun startServer(address: String, limits: ServerLimits, handler: RequestHandler) {
        servers += startHttpServer(callerMemory, scope, address, limits, MAXIMUM_HEADER_BYTES, handler)
    }

    private fun startFeeds() {
        val configurations = ConfigurationListener(currentConfiguration, quotas, log)
        feeds.follow(
            tasks,
            "configurations",
            platform.configurations,
            configurations,
            InstanceFeeds.CONFIGURATION_PACE,
        )
        val endpointListener = EndpointListener(endpoints, clock, log)
        feeds.follow(tasks, "endpoints", platform.endpoints, endpointListener, InstanceFeeds.ENDPOINT_PACE)
        if (evacuations != null) {
            val pace = EvacuationListener.paceFor(evacuations.retention)
            val listener = EvacuationListener(evacuations, ages, log)
            feeds.follow(tasks, "evacuations", platform.evacuations, listener, pace)
        }
        val kind = InstanceRegistration.KIND
        val instances = InstanceListener(peers, quotas, clock, registration::decode, log)
        feeds.follow(tasks, kind, platform.objectFeed(kind), instances, InstanceFeeds.INSTANCE_PACE)
        tasks.start("inquiry") { feeds.inquiry.run() }
    }

    private suspend fun runPeriodicTasks(): Nothing {
        while (true) {
            val sleepStartedAt = clock.now()
            delay(TASK_INTERVAL)
            val now = clock.now()
            loopDelay.record(TASK_INTERVAL, sleepStartedAt, now)
            endpoints.removeLapsed(now)
            updateColdEndpoints(now)
            currentConfiguration.recordReported(peers.newestConfiguration(now), now)
            crashGuard.update()
            quotas.updateMembers(peers.registered.keys)
            demands.sample()
            val isServing = currentConfiguration.configuration != null && listCurrency.isRecent(ages) &&
                evacuations?.isListed ?: true
            if (phase == InstancePhase.JOINING && isServing) {
                phase = InstancePhase.READY
                log.record(DecisionEvent.PhaseChanged("ready", "configuration and endpoints are known"))
            }
        }
    }

    private suspend fun logStatus(): Nothing {
        while (true) {
            delay(STATUS_INTERVAL)
            log.record(DecisionEvent.InstanceStatus(gauges.takeStatus()))
        }
    }

    private fun isReady(): Boolean = phase == InstancePhase.READY && !listCurrency.isBehind(ages) &&
        currentConfiguration.hasEvidence(maximumReadyEvidenceAge(), ages)

    private fun maximumReadyEvidenceAge(): Duration =
        settings.bounds.revocationMilliseconds?.milliseconds ?: Duration.INFINITE

    private fun listCallerTargets(): List<CallerTarget> {
        val age = currentConfiguration.evidenceAge(ages)?.inWholeMilliseconds
        val own = CallerTarget(settings.addresses.callers, settings.instance.dataCentre)
        return peers.callerTargets(OwnAddress(own, isReady(), age), clock.now())
    }

    private companion object {
        /** A few times the maximum delay between data centres; repeating a lost connection request takes seconds. */
        val CONNECT_TIMEOUT = 400.milliseconds

        val TASK_INTERVAL = 100.milliseconds
        val STATUS_INTERVAL = 2.seconds

        /** Number of report intervals until the others have received a report, even if one is lost. */
        const val PROPAGATION_INTERVALS = 3

        /** Callers learn of a draining instance within this time, in seconds. */
        const val ADDRESS_KEEP_SECONDS = 2

        const val DEFAULT_LINK_MEGABITS_PER_SECOND = 1000.0
        const val DEFAULT_CACHE_TOKENS = 500_000L
        const val MAXIMUM_HEADER_BYTES = 32_768
    }
}
