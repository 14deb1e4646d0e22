package org.nutmegspring.node.engine

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.node.observe.createTelemetry
import org.nutmegspring.node.settings.EndpointSettings
import org.nutmegspring.node.settings.TraceExporter
import org.nutmegspring.node.settings.TraceSettings
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards `serve` against TWICE and MIXED: bytes after an answer became the head of the next one on its connection.
class LeftoverServiceAnswerSpec {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val client = createEndpointHttpClient(EndpointSettings(2_000, 5_000, 1_000))
    private val telemetry = createTelemetry(InstanceId("a"), TraceSettings(TraceExporter.NONE, ""))
    private val services = ServiceClient(client, telemetry, maximumAnswerBytes = 1_000)
    private val answered = AtomicInteger()

    @AfterEach
    fun close() {
        client.close()
        listener.close()
    }

    /** Answers each request on each connection, which stays open, and adds the beginning of a refusal. */
    private fun startServer() = thread(isDaemon = true) {
        runCatching {
            while (true) listener.accept().let { thread(isDaemon = true) { runCatching { answerAll(it) } } }
        }
    }

    private fun answerAll(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        while (readHead(reader)) {
            val body = "answer ${answered.incrementAndGet()}"
            val answer = "HTTP/1.1 200 OK\nContent-Length: ${body.length}\n\n$body"
            socket.getOutputStream().write((answer + REFUSAL).replace("\n", "\r\n").encodeToByteArray())
            socket.getOutputStream().flush()
        }
    }

    private fun readHead(reader: BufferedReader): Boolean {
        while (true) if ((reader.readLine() ?: return false).isEmpty()) return true
    }

    private fun call(): ServiceAnswer? {
        val endpoint = EndpointDescription(
            EndpointId("desk-1"),
            EndpointKind.Plain(ServiceId("desk")),
            DataCentreId("rennes"),
            "127.0.0.1:${listener.localPort}",
        )
        val request = ServiceRequest(RequestId("r"), "POST", "/x", emptyList(), byteArrayOf())
        return runBlocking { services.call(endpoint, request) }.getOrNull()
    }

    @Test
    fun `a refusal that broke off after an answer never becomes the head of the next one`() {
        startServer()
        repeat(CALLS) { number ->
            val answer = call()
            assertEquals(200 to "answer ${number + 1}", answer?.let { it.status to it.body.decodeToString() })
        }
    }

    private companion object {
        const val CALLS = 4
        const val REFUSAL = "HTTP/1.1 503 Service Unavailable\nNot-Executed: 1"
    }
}
