package org.nutmegspring.node.instance

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.nutmegspring.identity.ModelId
import org.nutmegspring.node.configuration.PolledConfigurationView
import org.nutmegspring.node.engine.EngineClient
import org.nutmegspring.node.engine.ServiceClient
import org.nutmegspring.node.engine.endpointHttpClient
import org.nutmegspring.node.entry.Admission
import org.nutmegspring.node.entry.CompletionHandler
import org.nutmegspring.node.entry.CompletionParts
import org.nutmegspring.node.entry.CompletionRequestReader
import org.nutmegspring.node.entry.EntryParts
import org.nutmegspring.node.entry.EntryServer
import org.nutmegspring.node.entry.RunningServer
import org.nutmegspring.node.entry.ServiceHandler
import org.nutmegspring.node.entry.ServiceParts
import org.nutmegspring.node.execution.SingleAttemptExecution
import org.nutmegspring.node.execution.SingleAttemptServiceExecution
import org.nutmegspring.node.limits.UnlimitedRateLimiter
import org.nutmegspring.node.observe.telemetry
import org.nutmegspring.node.routing.FewestRequestsChooser
import org.nutmegspring.node.settings.Settings
import org.nutmegspring.platform.http.httpPlatform
import org.nutmegspring.time.systemMonotonicClock
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** One running instance of the system. */
class Instance internal constructor(
    private val entry: RunningServer,
    private val owned: List<AutoCloseable>,
) : AutoCloseable {
    /** The address for callers and operators, `host:port`. */
    val callerAddress: String get() = entry.address

    override fun close() {
        entry.close()
        owned.forEach { it.close() }
    }
}

/** Starts an instance with [settings]. */
fun startInstance(settings: Settings): Instance {
    val clock = systemMonotonicClock()
    val epochSeconds = { System.currentTimeMillis() / MILLISECONDS_PER_SECOND }
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val telemetry = telemetry(settings.instance.id, settings.traces)
    val platform = httpPlatform(settings.platform.address, settings.platform.timeoutMilliseconds.milliseconds)
    val client = endpointHttpClient(settings.endpoints)

    val configuration = PolledConfigurationView(platform, epochSeconds).also { it.start(scope) }
    val listInterval = settings.endpoints.listIntervalMilliseconds.milliseconds
    val chooser = FewestRequestsChooser(platform, listInterval, ModelId("ledger-small")).also { it.start(scope) }
    val limiter = UnlimitedRateLimiter()
    val generations = SingleAttemptExecution(chooser, EngineClient(client, telemetry), clock)
    val serviceClient = ServiceClient(client, telemetry, settings.callers.maximumAnswerBytes)
    val services = SingleAttemptServiceExecution(chooser, serviceClient, clock)
    val admission = Admission(configuration, settings.callers)
    val reader = CompletionRequestReader(settings.generation)
    val completions = CompletionHandler(
        CompletionParts(admission, configuration, reader, limiter, chooser, generations, clock, epochSeconds),
    )
    val serviceHandler = ServiceHandler(ServiceParts(admission, configuration, limiter, services))
    val entry = EntryServer(
        EntryParts(completions, serviceHandler, admission, configuration, chooser, telemetry, epochSeconds),
    ).start(hostOf(settings.callers.address), portOf(settings.callers.address))
    logger.atInfo {
        message = "instance started"
        payload = mapOf("instance" to settings.instance.id.value, "address" to entry.address)
    }
    return Instance(entry, listOf(AutoCloseable { scope.cancel() }, client, platform, telemetry))
}

private const val MILLISECONDS_PER_SECOND = 1_000L

private fun hostOf(address: String) = address.substringBeforeLast(':')

private fun portOf(address: String) = address.substringAfterLast(':').toInt()
