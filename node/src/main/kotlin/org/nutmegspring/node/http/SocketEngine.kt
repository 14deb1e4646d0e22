package org.nutmegspring.node.http

import io.ktor.client.engine.HttpClientEngineBase
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.HttpClientEngineFactory
import io.ktor.client.engine.callContext
import io.ktor.client.engine.mergeHeaders
import io.ktor.client.plugins.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeoutCapability
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.HttpResponseData
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpProtocolVersion
import io.ktor.http.URLProtocol
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.content.OutgoingContent
import io.ktor.http.fullPath
import io.ktor.http.hostWithPort
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.util.date.GMTDate
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.CoroutineContext

/**
 * A client engine for HTTP/1.1 without TLS that fails when an answer is not whole in its framing: a length, chunks, or
 * the end of the connection. Each request has a connection of its own, so that none is repeated because an idle
 * connection was closed, and no bytes of one answer are taken for the next. Request bodies are given as bytes.
 */
object SocketEngine : HttpClientEngineFactory<HttpClientEngineConfig> {
    override fun create(block: HttpClientEngineConfig.() -> Unit): HttpClientEngineBase =
        SocketClientEngine(HttpClientEngineConfig().apply(block))
}

@OptIn(InternalAPI::class)
private class SocketClientEngine(override val config: HttpClientEngineConfig) : HttpClientEngineBase("sockets") {
    override val supportedCapabilities = setOf(HttpTimeoutCapability)
    private val selector = SelectorManager(dispatcher)

    init {
        coroutineContext.job.invokeOnCompletion { selector.close() }
    }

    override suspend fun execute(data: HttpRequestData): HttpResponseData {
        val requestTime = GMTDate()
        val context = callContext()
        val socket = connect(data)
        // Ends the exchange when the caller leaves, in whichever state it is.
        context.job.invokeOnCompletion { socket.close() }
        return try {
            val output = RequestOutput(socket)
            send(data, output)
            val input = socket.openReadChannel()
            val head = input.readAnswerHead()
            val body = openBody(input, head.framing(data.method), output, socket, context)
            HttpResponseData(head.status, requestTime, head.headers, HttpProtocolVersion.HTTP_1_1, body, context)
        } catch (failure: Throwable) {
            socket.close()
            throw failure
        }
    }

    private suspend fun connect(data: HttpRequestData): Socket {
        require(data.url.protocol == URLProtocol.HTTP) { "the protocol ${data.url.protocol.name} is not supported" }
        val timeouts = data.getCapabilityOrNull(HttpTimeoutCapability)
        val builder = aSocket(selector).tcp()
        val connecting: suspend () -> Socket = {
            builder.connect(data.url.host, data.url.port) {
                noDelay = true
                timeouts?.socketTimeoutMillis?.let { socketTimeout = it }
            }
        }
        val limit = timeouts?.connectTimeoutMillis ?: return connecting()
        return withTimeoutOrNull(limit) { connecting() } ?: throw ConnectTimeoutException(data)
    }

    private suspend fun send(data: HttpRequestData, output: RequestOutput) {
        val body = when (val content = data.body) {
            is OutgoingContent.ByteArrayContent -> content.bytes()
            is OutgoingContent.NoContent -> null
            else -> error("the body of a request is not given as bytes")
        }
        val head = RequestResponseBuilder().apply {
            requestLine(data.method, data.url.fullPath, "HTTP/1.1")
            headerLine(HttpHeaders.Host, data.url.hostWithPort)
            headerLine(HttpHeaders.Connection, "close")
            if (body != null) headerLine(HttpHeaders.ContentLength, body.size.toString())
            mergeHeaders(data.headers, data.body) { name, value ->
                if (OWN_HEADERS.none { it.equals(name, ignoreCase = true) }) headerLine(name, value)
            }
            emptyLine()
        }.build()
        output.write(head, body)
    }

    private fun openBody(
        input: ByteReadChannel,
        framing: BodyFraming,
        request: RequestOutput,
        socket: Socket,
        context: CoroutineContext,
    ): ByteReadChannel = CoroutineScope(context).writer(autoFlush = true) {
        socket.use {
            input.readAnswerBody(framing, request) { bytes, count ->
                channel.writeFully(bytes, 0, count)
                channel.flush()
            }
        }
    }.channel

    private companion object {
        val OWN_HEADERS = setOf(
            HttpHeaders.Host,
            HttpHeaders.Connection,
            HttpHeaders.ContentLength,
            HttpHeaders.TransferEncoding,
            HttpHeaders.Upgrade,
            HttpHeaders.Expect,
        )
    }
}
