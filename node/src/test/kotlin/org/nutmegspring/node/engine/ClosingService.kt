package org.nutmegspring.node.engine

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.node.observe.createTelemetry
import org.nutmegspring.node.settings.EndpointSettings
import org.nutmegspring.node.settings.TraceExporter
import org.nutmegspring.node.settings.TraceSettings
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Calls a service that sends an answer and then closes its connection. */
internal class ClosingService : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val client = createEndpointHttpClient(EndpointSettings(2_000, 5_000, 1_000))
    private val telemetry = createTelemetry(InstanceId("a"), TraceSettings(TraceExporter.NONE, ""))
    private val services = ServiceClient(client, telemetry, maximumAnswerBytes = 1_000)

    override fun close() {
        client.close()
        listener.close()
    }

    /** Calls the service, which sends [answer], and returns the body or null for a failure. */
    fun call(answer: String): String? = callService(answer).getOrNull()?.body?.decodeToString()

    private fun callService(answer: String): Either<Failure, ServiceAnswer> {
        thread(isDaemon = true) { listener.accept().use { it.send(answer) } }
        val endpoint = EndpointDescription(
            EndpointId("desk-1"),
            EndpointKind.Plain(ServiceId("desk")),
            DataCentreId("rennes"),
            "127.0.0.1:${listener.localPort}",
        )
        val request = ServiceRequest(RequestId("r"), "POST", "/x", emptyList(), byteArrayOf())
        return runBlocking { services.call(endpoint, request) }
    }

    private fun Socket.send(answer: String) {
        getInputStream().bufferedReader().lineSequence().first { it.isEmpty() }
        getOutputStream().write(answer.replace("\n", "\r\n").encodeToByteArray())
        getOutputStream().flush()
    }
}
