package org.nutmegspring.node.engine

import kotlinx.serialization.json.JsonObject
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.http.CuttingServer
import org.nutmegspring.node.observe.createTelemetry
import org.nutmegspring.node.routing.HttpLoadReportReader
import org.nutmegspring.node.routing.Work
import org.nutmegspring.node.settings.EndpointSettings
import org.nutmegspring.node.settings.TraceExporter
import org.nutmegspring.node.settings.TraceSettings

/** The clients of endpoints, and a server that they call. */
internal class TestEndpoint(silenceTimeoutMilliseconds: Long = 5_000) : AutoCloseable {
    val server = CuttingServer()
    private val client = createEndpointHttpClient(EndpointSettings(2_000, silenceTimeoutMilliseconds, 1_000))
    private val telemetry = createTelemetry(InstanceId("a"), TraceSettings(TraceExporter.NONE, ""))
    private val services = ServiceClient(client, telemetry, maximumAnswerBytes = 1_000)
    private val engines = EngineClient(client, telemetry)
    private val reports = HttpLoadReportReader(client)
    private val description =
        EndpointDescription(EndpointId("engine-1"), EndpointKind.Engine, DataCentreId("rennes"), server.address)

    /** Calls a plain service and returns its body, or null for a failure. */
    suspend fun callService(method: String = "POST", headers: List<Header> = emptyList()): String? {
        val request = ServiceRequest(RequestId("r"), method, "/x", headers, byteArrayOf())
        return services.call(description, request).getOrNull()?.body?.decodeToString()
    }

    /** Runs a generation, passes its texts to [onText], and returns whether its answer was whole. */
    suspend fun generate(onText: (String) -> Unit = {}): Boolean {
        val work = Work.Generation(OrganisationId("o"), ModelId("m"), 1, 1, emptyList())
        val generation = Generation(RequestId("r"), work, "/v1/completions", JsonObject(emptyMap()))
        return engines.generate(description, generation, 0) { _, text -> onText(text) }.isRight()
    }

    /** Returns whether a load report was read. */
    suspend fun readReport(): Boolean = reports.read(description).isRight()

    override fun close() {
        client.close()
        server.close()
    }
}
