package org.nutmegspring.gateway.instance

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.admission.QueueWaitLimit
import org.nutmegspring.gateway.duties.RoleOrderer
import org.nutmegspring.gateway.duties.UsageReporter
import org.nutmegspring.gateway.endpoints.EndpointChange
import org.nutmegspring.gateway.endpoints.EndpointListCurrency
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.endpoints.InstanceTurns
import org.nutmegspring.gateway.forwarding.Admission
import org.nutmegspring.gateway.forwarding.AdmissionBounds
import org.nutmegspring.gateway.forwarding.CrashGuard
import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.forwarding.EndpointLimits
import org.nutmegspring.gateway.forwarding.EndpointSender
import org.nutmegspring.gateway.forwarding.EngineChoice
import org.nutmegspring.gateway.forwarding.EngineProbes
import org.nutmegspring.gateway.forwarding.GatewayHandler
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.forwarding.RetryBounds
import org.nutmegspring.gateway.forwarding.ServiceForwarder
import org.nutmegspring.gateway.forwarding.ServiceRetries
import org.nutmegspring.gateway.forwarding.StreamForwarder
import org.nutmegspring.gateway.forwarding.UsageCounter
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.http.EventLoop
import org.nutmegspring.gateway.http.HttpServer
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.http.ServerLimits
import org.nutmegspring.gateway.http.startHttpServer
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.EventLoopDelay
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.StatusSnapshot
import org.nutmegspring.gateway.peers.AddressedReport
import org.nutmegspring.gateway.peers.ExchangeTraffic
import org.nutmegspring.gateway.peers.InstanceRecord
import org.nutmegspring.gateway.peers.OwnAddress
import org.nutmegspring.gateway.peers.PeerExchange
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.peers.ReportPacing
import org.nutmegspring.gateway.settings.GatewaySettings
import org.nutmegspring.gateway.settings.PlatformSettings
import org.nutmegspring.gateway.store.FeedFollower
import org.nutmegspring.gateway.store.FeedListener
import org.nutmegspring.gateway.store.PlatformPorts
import org.nutmegspring.gateway.store.StoreFeed
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.DutyPlacement
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.lease.LeaseRole
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.node.control.LeaseManager
import org.nutmegspring.node.control.TypedObjectStore
import org.nutmegspring.node.control.toWriteCondition
import org.nutmegspring.placement.PromptPart
import org.nutmegspring.placement.ServicePlacement
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.roles.RoleBalancer
import org.nutmegspring.time.SuspensionAwareClock
import org.nutmegspring.time.systemMonotonicClock
import org.nutmegspring.usage.WindowCounts
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Creates the platform's ports from connections, settings and a callback for unreadable objects. */
typealias PlatformFactory = (EndpointConnections, PlatformSettings, (String) -> Unit) -> PlatformPorts

/** A running instance of the gateway: its servers, feeds, peer exchange and duties. */
class GatewayInstance internal constructor(
    initial: GatewaySettings,
    platformFactory: PlatformFactory,
    private val log: DecisionLog,
) {
    private var settings = initial
    private val loop = EventLoop()
    private val failures = CoroutineExceptionHandler { _, cause ->
        log.record(DecisionEvent.Skipped("a task of the instance", cause.stackTraceToString()))
    }
    private val scope = CoroutineScope(loop.dispatcher + SupervisorJob() + failures)
    private val clock = SuspensionAwareClock(systemMonotonicClock(), System::currentTimeMillis)
    private val random = Random.Default
    private val self = initial.instance.id
    private val incarnation = Incarnation(random.nextLong())
    private val startedAtMilliseconds = System.currentTimeMillis()
    private val connections = EndpointConnections(loop, clock, CONNECT_TIMEOUT)
    private val platform = platformFactory(connections, initial.platform) {
        log.record(DecisionEvent.Skipped("an object of the store", it))
    }
    private val metrics = GatewayMetrics()
    private val loopDelay = EventLoopDelay()
    private val currentConfiguration = CurrentConfiguration(log)
    private val quotas = QuotaTable(clock) { settings.bounds.quotaWindowSeconds.seconds }
    private val peers = PeerTable(self, incarnation)
    private val turns =
        InstanceTurns(self, { peers.registered.keys }) { System.currentTimeMillis().milliseconds }
    private val endpoints = EndpointTable(::findCacheCapacity, turns) { endpoint, change ->
        if (change == EndpointChange.APPEARED || change == EndpointChange.GONE) connections.closeIdle(endpoint.address)
        log.record(DecisionEvent.EndpointChanged(endpoint, change))
    }
    private val listCurrency = EndpointListCurrency(endpoints, currentConfiguration.evidence) {
        settings.bounds.departureMilliseconds.milliseconds
    }
    private val counts = WindowCounts(initial.bounds.usageWindow.inWholeMilliseconds)
    private val usage = UsageCounter(counts)
    private val limits = EndpointLimits(endpoints, clock, log)
    private val sender = EndpointSender(connections, platform.dialect, limits)
    private val retries = ServiceRetries(clock, ::createRetryBounds) { peers.registered.size + 1 }
    private val engineChoice =
        EngineChoice(endpoints, sender, platform.dialect, retries, initial.instance.dataCentre, clock)
    private val crashGuard = CrashGuard(EngineProbes(connections), clock, log) { exchange.interval }
    private var phase = InstancePhase.JOINING
    private val servers = mutableListOf<HttpServer>()
    private val duties = InstanceDuties(
        initial,
        LeaseHolder(self, incarnation),
        platform,
        DutyInputs(
            phase = { phase },
            readyPeers = { peers.readyInstances(clock.now()) },
            services = { currentConfiguration.configuration?.services?.values.orEmpty() },
            propagationTime = { exchange.interval * PROPAGATION_INTERVALS },
            countRequests = ::sumRequests,
            endpoints = endpoints,
        ),
        clock,
        log,
    )
    private val reports = PeerReports(self, peers, quotas, endpoints, crashGuard, limits, clock)

    private val pacing = ReportPacing(initial.instance.linkMegabitsPerSecond)
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
        clock,
    )
    private val exchange: PeerExchange by lazy {
        PeerExchange(loop, settings.addresses.exchange, pacing, reports::applyReport) {
            log.record(DecisionEvent.Skipped("a report of an instance", it))
        }
    }

    private fun composeReports(): List<AddressedReport> = composer.compose(phase, exchange.interval)

    private fun findCacheCapacity(service: ServiceId): Long =
        currentConfiguration.configuration?.services?.get(service)?.engines?.cacheCapacityTokens ?: DEFAULT_CACHE_TOKENS

    internal fun start() {
        log.record(DecisionEvent.PhaseChanged("starting", "instance $self, incarnation $incarnation"))
        val limits =
            CallerServerLimits({ currentConfiguration.configuration?.limits }, { phase == InstancePhase.DRAINING })
        startServer(settings.addresses.callers, limits, createGatewayHandler())
        startServer(
            settings.addresses.readiness,
            DefaultServerLimits,
            createReadinessHandler(platform.dialect, ::isReady),
        )
        val keepSeconds = { minOf(ADDRESS_KEEP_SECONDS, settings.bounds.addressKeepSeconds) }
        startServer(
            settings.addresses.directory,
            DefaultServerLimits,
            createDirectoryHandler(platform.dialect, keepSeconds, ::listCallerAddresses),
        )
        startServer(settings.addresses.metrics, DefaultServerLimits, createMetricsHandler(metrics::scrape))
        registerGauges(exchange.traffic)
        followFeed(
            platform.configurations,
            ConfigurationListener(currentConfiguration, quotas, log),
            CONFIGURATION_WAIT,
        )
        followFeed(platform.endpoints, EndpointListener(endpoints, clock, log), ENDPOINT_WAIT)
        followFeed(platform.objectFeed(INSTANCES), InstanceListener(peers, quotas, ::decodeRecord, log), INSTANCE_WAIT)
        scope.launch { register() }
        scope.launch { exchange.run(::composeReports) }
        scope.launch { runPeriodicTasks() }
        scope.launch { logStatus(exchange.traffic) }
        duties.start(scope)
    }

    /** Applies changed settings. Servers keep their addresses, and the instance its id, until a restart. */
    fun reload(changed: GatewaySettings) {
        settings = changed
        log.record(DecisionEvent.PhaseChanged(phase.name.lowercase(), "the settings were reloaded"))
    }

    /** Withdraws from address answers, finishes running requests, and returns when the process can exit. */
    suspend fun drain() = withContext(loop.dispatcher) {
        val startedAt = clock.now()
        phase = InstancePhase.DRAINING
        log.record(DecisionEvent.PhaseChanged("draining", "the process was told to stop"))
        exchange.send(composeReports())
        val maximumDrain = settings.bounds.stopSeconds.seconds * DRAIN_SHARE
        while (clock.now() - startedAt < maximumDrain) {
            val isDrained = clock.now() - startedAt > MINIMUM_DRAIN && servers.none { it.isBusy }
            if (isDrained) break
            delay(DRAIN_CHECK)
        }
        servers.forEach {
            it.stopListening()
            it.closeIdle()
        }
        exchange.send(composeReports())
        log.record(DecisionEvent.PhaseChanged("stopped", "drained in ${clock.now() - startedAt}"))
    }

    /** Cancels all tasks and closes the event loop. */
    fun close() {
        scope.cancel()
        loop.close()
    }

    private fun createGatewayHandler(): RequestHandler {
        val admission = Admission(
            currentConfiguration,
            clock,
            random,
            { listCurrency.isBehind(clock.now()) },
            ::createAdmissionBounds,
        )
        val dataCentre = settings.instance.dataCentre
        val services =
            ServiceForwarder(endpoints, sender, ServicePlacement(random), retries, usage, dataCentre, clock)
        val streams = StreamForwarder(engineChoice, sender, retries, usage, QueueWaitLimit(), crashGuard)
        return GatewayHandler(
            platform.dialect,
            admission,
            currentConfiguration,
            quotas,
            retries,
            services,
            streams,
            clock,
            log,
            metrics,
            random,
        )
    }

    private fun startServer(address: String, limits: ServerLimits, handler: RequestHandler) {
        servers += startHttpServer(loop, scope, address, limits, MAXIMUM_HEADER_BYTES, handler)
    }

    private fun <T : Any> followFeed(feed: StoreFeed<T>, listener: FeedListener<T>, wait: Duration) {
        scope.launch { FeedFollower(feed, listener, clock, wait, random).run() }
    }

    private fun sumRequests(window: Long): Map<OrganisationId, Long> {
        val sums = HashMap<OrganisationId, Long>()
        (peers.windowCounts(window) + listOfNotNull(usage.snapshot()[window])).forEach { part ->
            part.forEach { (organisation, count) -> sums.merge(organisation, count, Long::plus) }
        }
        return sums
    }

    private fun decodeRecord(text: String): InstanceRecord? = try {
        json.decodeFromString(InstanceRecord.serializer(), text)
    } catch (unreadable: SerializationException) {
        log.record(DecisionEvent.Skipped("the record of an instance", unreadable.message.orEmpty()))
        null
    }

    /** Writes this instance's record unless the store has it already; retries until it is stored. */
    private suspend fun register() {
        val records = TypedObjectStore(platform.store, InstanceRecord.serializer())
        val key = ObjectKey("$INSTANCES/${self.value}")
        val record = InstanceRecord(settings.addresses.exchange, settings.addresses.callers)
        while (true) {
            val found = records.read(key)
            val isRegistered = found.fold(
                { false },
                { it?.value == record || records.write(key, record, it.toWriteCondition()).isRight() },
            )
            if (isRegistered) return
            delay(REGISTER_PAUSE)
        }
    }

    private suspend fun runPeriodicTasks() {
        while (true) {
            val sleepStartedAt = clock.now()
            delay(TASK_INTERVAL)
            val now = clock.now()
            loopDelay.record(TASK_INTERVAL, now - sleepStartedAt)
            endpoints.removeLapsed(now)
            crashGuard.update()
            quotas.updateMembers(peers.registered.keys)
            val isServing = currentConfiguration.configuration != null && listCurrency.isRecent(now)
            if (phase == InstancePhase.JOINING && isServing) {
                phase = InstancePhase.READY
                log.record(DecisionEvent.PhaseChanged("ready", "configuration and endpoints are known"))
            }
        }
    }

    private suspend fun logStatus(traffic: ExchangeTraffic) {
        while (true) {
            delay(STATUS_INTERVAL)
            log.record(DecisionEvent.InstanceStatus(createStatus(traffic)))
        }
    }

    private fun createStatus(traffic: ExchangeTraffic) = StatusSnapshot(
        livePeers = peers.liveReports(clock.now()).size,
        registeredPeers = peers.registered.size,
        sentBytes = traffic.sentBytes,
        receivedBytes = traffic.receivedBytes,
        reportBytes = traffic.reportBytes,
        endpointEvidenceAge = endpoints.evidence.age(clock.now()),
        longestLoopDelay = loopDelay.takeLongest(),
    )

    private fun isReady(): Boolean = phase == InstancePhase.READY && !listCurrency.isBehind(clock.now()) &&
        currentConfiguration.evidence.isYoungerThan(settings.bounds.revocationMilliseconds.milliseconds, clock.now())

    private fun listCallerAddresses(): List<String> {
        val age = currentConfiguration.evidence.age(clock.now())?.inWholeMilliseconds
        return peers.callerAddresses(OwnAddress(settings.addresses.callers, isReady(), age), clock.now())
    }

    private fun createAdmissionBounds(): AdmissionBounds = with(settings.bounds) {
        AdmissionBounds(
            maximumEvidenceAge = if (strictRevocation) revocationMilliseconds.milliseconds * EVIDENCE_SHARE else null,
            maximumPropagationDelay = configurationMilliseconds.milliseconds * PROPAGATION_SHARE,
        )
    }

    private fun createRetryBounds(): RetryBounds = with(settings.bounds) {
        RetryBounds(retryRatio, retryExtra, retryWindowSeconds.seconds)
    }

    private fun registerGauges(traffic: ExchangeTraffic) {
        metrics.registerGauge("gateway_configuration_version") {
            currentConfiguration.configuration?.version?.toDouble() ?: 0.0
        }
        metrics.registerGauge("gateway_evidence_age_seconds") {
            currentConfiguration.evidence.age(clock.now())?.let { it.inWholeMilliseconds / MILLISECONDS_PER_SECOND }
                ?: -1.0
        }
        metrics.registerGauge("gateway_endpoint_evidence_age_seconds") {
            endpoints.evidence.age(clock.now())?.toDouble(DurationUnit.SECONDS) ?: -1.0
        }
        metrics.registerGauge("gateway_event_loop_delay_seconds") { loopDelay.last.toDouble(DurationUnit.SECONDS) }
        metrics.registerGauge("gateway_report_sent_bytes") { traffic.sentBytes.toDouble() }
        metrics.registerGauge("gateway_report_received_bytes") { traffic.receivedBytes.toDouble() }
        metrics.registerGauge("gateway_report_size_bytes") { traffic.reportBytes.toDouble() }
        metrics.registerGauge("gateway_registered_peers") { peers.registered.size.toDouble() }
        metrics.registerGauge("gateway_endpoints") { endpoints.allStates().size.toDouble() }
        metrics.registerGauge("gateway_live_peers") { peers.liveReports(clock.now()).size.toDouble() }
        metrics.registerGauge("gateway_connections_opened") { connections.openedCount.toDouble() }
        metrics.registerGauge("gateway_engine_crashes") { crashGuard.crashCount.toDouble() }
        metrics.registerGauge("gateway_quarantined_prompt_parts") { crashGuard.quarantinedCount.toDouble() }
        metrics.registerGauge("gateway_quarantine_refusals") { crashGuard.refusalCount.toDouble() }
        metrics.registerGauge("gateway_limited_endpoints") {
            endpoints.allStates().count { it.limit.requestsPerSecond != null }.toDouble()
        }
        metrics.registerGauge("gateway_limited_endpoint_requests") {
            endpoints.allStates().sumOf { it.limit.sentRequests }.toDouble()
        }
        metrics.registerGauge("gateway_duty_held") { if (duties.isHolding) 1.0 else 0.0 }
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }

        /** The kind of the store objects that register the instances. */
        const val INSTANCES = "instances"

        /** A few times the maximum delay between data centres; repeating a lost connection request takes seconds. */
        val CONNECT_TIMEOUT = 400.milliseconds

        /** A shorter wait confirms the newest configuration more often but costs more calls. */
        val CONFIGURATION_WAIT = 1200.milliseconds

        /** A silent connection to the store is detected after this plus a margin, before an endpoint must be unused. */
        val ENDPOINT_WAIT = 1000.milliseconds
        val INSTANCE_WAIT = 10.seconds
        val REGISTER_PAUSE = 300.milliseconds
        val TASK_INTERVAL = 100.milliseconds
        val STATUS_INTERVAL = 2.seconds

        /** Number of report intervals until the others have received a report, even if one is lost. */
        const val PROPAGATION_INTERVALS = 3

        /** Callers learn of a draining instance within this time, in seconds. */
        const val ADDRESS_KEEP_SECONDS = 2

        /** Callers that keep an address answer for its lifetime have moved to other instances by then. */
        val MINIMUM_DRAIN = 2500.milliseconds
        val DRAIN_CHECK = 50.milliseconds

        /** Share of the stop time that is used for finishing running requests. */
        const val DRAIN_SHARE = 0.8

        /** Share of the revocation time up to which the evidence may age; the rest covers the onward path. */
        const val EVIDENCE_SHARE = 0.9

        /**
         * Share of the configuration time. An unknown key or route is refused permanently only while the evidence is
         * younger than this.
         */
        const val PROPAGATION_SHARE = 0.9
        const val DEFAULT_CACHE_TOKENS = 500_000L
        const val MAXIMUM_HEADER_BYTES = 32_768
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}

/** Starts an instance with [settings] on the platform that [platformFactory] creates. */
fun startGateway(settings: GatewaySettings, log: DecisionLog, platformFactory: PlatformFactory): GatewayInstance =
    GatewayInstance(settings, platformFactory, log).also { it.start() }
