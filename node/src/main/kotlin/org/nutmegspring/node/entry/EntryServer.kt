package org.nutmegspring.node.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.httpMethod
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.micrometer.core.instrument.Timer
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.extension.kotlin.asContextElement
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.failure.Effect
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.node.configuration.ConfigurationView
import org.nutmegspring.node.membership.GateDecision
import org.nutmegspring.node.membership.InstanceDirectory
import org.nutmegspring.node.membership.RequestGate
import org.nutmegspring.node.observe.Telemetry
import org.nutmegspring.node.routing.EndpointChooser
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger("org.nutmegspring.node.entry")

/** The collaborators of [EntryServer]. [extraRoutes] registers the routes of other components. */
class EntryParts(
    val completions: CompletionHandler,
    val services: ServiceHandler,
    val admission: CallerAdmission,
    val configuration: ConfigurationView,
    val chooser: EndpointChooser,
    val telemetry: Telemetry,
    val epochSeconds: () -> Long,
    val gate: RequestGate,
    val directory: InstanceDirectory,
    val extraRoutes: List<Route.() -> Unit> = emptyList(),
)

/** The HTTP server for callers and operators. */
class EntryServer(private val parts: EntryParts) {
    /** Starts serving at [host] and [port]; port 0 selects a free port. */
    fun start(host: String, port: Int): RunningServer {
        val server = embeddedServer(
            CIO,
            configure = {
                connectors.add(
                    EngineConnectorBuilder().apply {
                        this.host = host
                        this.port = port
                    },
                )
            },
            module = { module() },
        )
        server.start(wait = false)
        val boundPort = runBlocking { server.engine.resolvedConnectors() }.first().port
        return RunningServer("$host:$boundPort") { server.stop(0, STOP_TIMEOUT_MILLISECONDS) }
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            completionRoutes()
            serviceRoutes()
            healthAndMetricsRoutes()
            parts.extraRoutes.forEach { it() }
        }
    }

    private fun Route.completionRoutes() {
        CompletionForm.entries.forEach { form ->
            post(form.path) {
                serveObserved(call, form.path) { id -> parts.completions.serve(call, form, id) }
            }
        }
        get("/v1/models") {
            serveObserved(call, "/v1/models") {
                parts.admission.authenticate(call).fold({ call.respondError(it) }, { respondModels(call, it) })
            }
        }
    }

    private fun Route.serviceRoutes() {
        route("/services/{service}/{path...}") {
            handle {
                val service = ServiceId(call.parameters["service"].orEmpty())
                serveObserved(call, "/services") { id -> parts.services.serve(call, service, id) }
            }
        }
    }

    private fun Route.healthAndMetricsRoutes() {
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            parts.configuration.checkFreshness().fold(
                { call.respondText("${it.message}\n", status = HttpStatusCode.ServiceUnavailable) },
                { call.respondText("ready\n") },
            )
        }
        get("/metrics") {
            call.respondText(parts.telemetry.meters.scrape(), ContentType.parse("text/plain; version=0.0.4"))
        }
    }

    private suspend fun respondModels(call: ApplicationCall, caller: Caller) {
        val allowed = caller.organisation.models
        val models = parts.chooser.runningModels().filter { allowed.isEmpty() || it in allowed }
        val entries = models.map { it.value }.sorted().map { ModelEntry(it) }
        call.respondJson(ModelList.serializer(), ModelList(data = entries))
    }

    private suspend fun serveObserved(call: ApplicationCall, route: String, serve: suspend (RequestId) -> Unit) {
        val id = createRequestId()
        call.response.header(EngineProtocol.REQUEST_ID_HEADER, id.value)
        val sample = Timer.start(parts.telemetry.meters)
        val span = startSpan(call, route, id)
        try {
            withContext(Context.current().with(span).asContextElement()) { serveIfAdmitted(call) { serve(id) } }
        } catch (cancelled: CancellationException) {
            span.addEvent("cancelled")
            throw cancelled
        } catch (unexpected: Exception) {
            logger.error(unexpected) { "request ${id.value} failed unexpectedly" }
            call.respondError(
                ApiError(HttpStatusCode.InternalServerError, "internal", "internal error", Effect.UNKNOWN),
            )
        } finally {
            recordEnd(call, route, id, span, sample)
        }
    }

    private suspend fun serveIfAdmitted(call: ApplicationCall, serve: suspend () -> Unit) {
        when (parts.gate.tryEnter()) {
            GateDecision.OPEN -> try {
                serve()
            } finally {
                parts.gate.leave()
            }

            GateDecision.STOPPING -> call.respondError(createRefusal("instance_stopping", "this instance is stopping"))

            GateDecision.FULL -> call.respondError(createRefusal("instance_full", "this instance is at capacity"))
        }
    }

    private fun createRefusal(code: String, message: String) = ApiError(
        HttpStatusCode.ServiceUnavailable,
        code,
        "$message, use another one",
        retryAfter = 1.seconds,
        instances = parts.directory.selectOtherInstances().map { it.address },
    )

    private fun startSpan(call: ApplicationCall, route: String, id: RequestId): Span {
        val parent = parts.telemetry.propagators.textMapPropagator.extract(Context.root(), call, HeaderGetter)
        return parts.telemetry.tracer.spanBuilder("entry").setSpanKind(SpanKind.SERVER).setParent(parent)
            .setAttribute("route", route)
            .setAttribute("method", call.request.httpMethod.value)
            .setAttribute("request", id.value)
            .startSpan()
    }

    private fun recordEnd(call: ApplicationCall, route: String, id: RequestId, span: Span, sample: Timer.Sample) {
        val status = call.response.status()?.value ?: CLIENT_CLOSED_REQUEST
        span.setAttribute("status", status.toLong())
        span.end()
        val timer = Timer.builder("nutmegspring.requests").tag("route", route).tag("status", status.toString())
        sample.stop(timer.register(parts.telemetry.meters))
        logger.atInfo {
            message = "request served"
            payload = mapOf("request" to id.value, "route" to route, "status" to status)
        }
    }

    private companion object {
        const val STOP_TIMEOUT_MILLISECONDS = 500L

        /** The status recorded when the caller disconnected before a response was sent, as in nginx. */
        const val CLIENT_CLOSED_REQUEST = 499
    }
}

/** A server that listens at [address] until [close] is called. */
class RunningServer(
    val address: String,
    private val stop: () -> Unit,
) : AutoCloseable {
    override fun close() = stop()
}

/** One model in [ModelList]. */
@Serializable
data class ModelEntry(
    val id: String,
    @SerialName("object") val objectType: String = "model",
    @SerialName("owned_by") val ownedBy: String = "nutmegspring",
)

/** The models available to a caller, in the OpenAI-compatible format. */
@Serializable
data class ModelList(
    @SerialName("object") val objectType: String = "list",
    val data: List<ModelEntry>,
)

private object HeaderGetter : TextMapGetter<ApplicationCall> {
    override fun keys(carrier: ApplicationCall): Iterable<String> = carrier.request.headers.names()

    override fun get(carrier: ApplicationCall?, key: String): String? = carrier?.request?.headers?.get(key)
}
