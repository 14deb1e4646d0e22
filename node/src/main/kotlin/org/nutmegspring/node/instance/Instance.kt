package org.nutmegspring.node.instance

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.nutmegspring.execution.RetryBudget
import org.nutmegspring.execution.RetryPolicy
import org.nutmegspring.limits.SlotHolder
import org.nutmegspring.node.administration.AdministrationRoutes
import org.nutmegspring.node.control.UsageParts
import org.nutmegspring.node.control.UsageRuntime
import org.nutmegspring.node.engine.EngineClient
import org.nutmegspring.node.engine.ServiceClient
import org.nutmegspring.node.engine.createEndpointHttpClient
import org.nutmegspring.node.entry.CallerAdmission
import org.nutmegspring.node.entry.CompletionHandler
import org.nutmegspring.node.entry.CompletionParts
import org.nutmegspring.node.entry.CompletionRequestReader
import org.nutmegspring.node.entry.EntryParts
import org.nutmegspring.node.entry.EntryServer
import org.nutmegspring.node.entry.RunningServer
import org.nutmegspring.node.entry.ServiceHandler
import org.nutmegspring.node.entry.ServiceParts
import org.nutmegspring.node.execution.ExecutionParts
import org.nutmegspring.node.execution.KeyedServiceExecution
import org.nutmegspring.node.execution.ResumingExecution
import org.nutmegspring.node.execution.ServiceAttempts
import org.nutmegspring.node.execution.TicketRoutes
import org.nutmegspring.node.limits.LimiterParts
import org.nutmegspring.node.limits.createSharedRateLimiter
import org.nutmegspring.node.observe.createTelemetry
import org.nutmegspring.node.routing.ChooserSources
import org.nutmegspring.node.routing.ChooserTiming
import org.nutmegspring.node.routing.HttpLoadReportReader
import org.nutmegspring.node.routing.LoadAwareChooser
import org.nutmegspring.node.routing.MembershipRoutingPeers
import org.nutmegspring.node.settings.Settings
import org.nutmegspring.storeclient.createHttpPlatform
import org.nutmegspring.time.systemMonotonicClock
import java.security.SecureRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** One running instance of the system. */
class Instance internal constructor(
    private val entry: RunningServer,
    private val inner: InnerRuntime,
    private val resources: List<AutoCloseable>,
) : AutoCloseable {
    /** The address for callers and operators, `host:port`. */
    val callerAddress: String get() = entry.address

    /** The address for other instances, `host:port`. */
    val innerAddress: String get() = inner.address

    /** Performs a planned stop up to the point at which [close] interrupts no request. */
    suspend fun drain() = inner.life.drain()

    override fun close() {
        entry.close()
        resources.forEach { it.close() }
    }
}

/** Starts an instance with [settings]. */
fun startInstance(settings: Settings): Instance {
    val parts = InstanceParts(settings)
    runBlocking { parts.chooser.awaitFirstReport(FIRST_REPORT_TIMEOUT) }
    val entry = parts.entry.start(parseHost(settings.callers.address), parsePort(settings.callers.address))
    parts.inner.start(entry.address, parts.scope)
    logger.atInfo {
        message = "instance started"
        payload = mapOf("instance" to settings.instance.id.value, "address" to entry.address)
    }
    val scope = AutoCloseable { parts.scope.cancel() }
    return Instance(
        entry,
        parts.inner,
        listOf(scope, parts.usage, parts.inner, parts.client, parts.platform, parts.telemetry),
    )
}

/** The components of one instance, in the order of their dependencies. */
internal class InstanceParts(settings: Settings) {
    private val clock = systemMonotonicClock()
    private val epochSeconds = { System.currentTimeMillis() / MILLISECONDS_PER_SECOND }
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val telemetry = createTelemetry(settings.instance.id, settings.traces)
    val platform = createHttpPlatform(settings.platform.address, settings.platform.timeoutMilliseconds.milliseconds)
    val client = createEndpointHttpClient(settings.endpoints)

    val inner = createInnerRuntime(settings, platform, telemetry, clock)
    val configurationRuntime = startConfiguration(platform, inner, clock, telemetry.meters, scope)
    private val configuration = configurationRuntime.view

    val chooser = LoadAwareChooser(
        ChooserSources(
            settings.instance.dataCentre,
            platform,
            HttpLoadReportReader(client),
            MembershipRoutingPeers(inner.membership),
            clock,
        ) { configuration.configuration.value.organisations[it]?.weight ?: 1 },
        ChooserTiming(listInterval = settings.endpoints.listIntervalMilliseconds.milliseconds),
        telemetry.meters,
    ).also { it.start(scope) }
    private val limiter = createSharedRateLimiter(
        LimiterParts(
            SlotHolder(settings.instance.id, inner.incarnation),
            configuration.configuration,
            inner.transport,
            platform,
            platform,
            telemetry.meters,
            clock,
        ),
    ).also { it.start(inner.membership, scope) }

    private val retryPolicy = RetryPolicy(RetryBudget())
    private val generationExecution = ResumingExecution(chooser, EngineClient(client, telemetry), clock, retryPolicy)
    private val serviceClient = ServiceClient(client, telemetry, settings.callers.maximumAnswerBytes)
    private val keyedServices = KeyedServiceExecution(
        ExecutionParts(
            settings.instance.id,
            inner.incarnation,
            platform,
            inner.transport,
            ServiceAttempts(chooser, serviceClient, clock, retryPolicy),
            clock,
            scope,
            SecureRandom().generateSeed(TICKET_SECRET_BYTES),
        ),
    )

    val usage = UsageRuntime(
        UsageParts(
            inner.incarnation,
            platform,
            settings.platform.address,
            inner.transport,
            inner.membership,
            clock,
            System::currentTimeMillis,
        ),
    ).also { it.start(scope) }

    init {
        inner.life.addReleaseAction { keyedServices.awaitIdle() }
        inner.life.addReleaseAction { usage.release() }
        inner.life.addReleaseAction { limiter.stop() }
    }

    private val admission = CallerAdmission(configuration, settings.callers)
    private val requestReader = CompletionRequestReader(settings.generation)
    private val completionHandler = CompletionHandler(
        CompletionParts(
            admission,
            configuration,
            requestReader,
            limiter,
            chooser,
            generationExecution,
            usage,
            clock,
            epochSeconds,
        ),
    )
    private val serviceHandler = ServiceHandler(ServiceParts(admission, configuration, limiter, keyedServices, usage))
    private val ticketRoutes = TicketRoutes(admission, configuration, keyedServices)
    private val administrationRoutes =
        AdministrationRoutes(configurationRuntime, inner.membership, settings.administration.operators)
    val entry = EntryServer(
        EntryParts(
            completionHandler,
            serviceHandler,
            admission,
            configuration,
            chooser,
            telemetry,
            epochSeconds,
            inner.gate,
            inner.directory,
            listOf({ ticketRoutes.addTo(this) }, { inner.directory.addTo(this) }, { administrationRoutes.addTo(this) }),
        ),
    )
}

private val FIRST_REPORT_TIMEOUT = 3.seconds
private const val MILLISECONDS_PER_SECOND = 1_000L
private const val TICKET_SECRET_BYTES = 32

internal fun parseHost(address: String) = address.substringBeforeLast(':')

internal fun parsePort(address: String) = address.substringAfterLast(':').toInt()
