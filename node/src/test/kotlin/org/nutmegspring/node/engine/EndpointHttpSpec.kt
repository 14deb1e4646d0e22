package org.nutmegspring.node.engine

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.node.http.Ending
import kotlin.test.Test
import kotlin.test.assertEquals

/** Calls of endpoints: their connections, and how they end. */
class EndpointHttpSpec {
    private val endpoint = TestEndpoint()
    private val event = """data: {"id":"r","object":"c","model":"m","choices":[{"index":0,"text":"a"}],"position":1}"""
    private val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    @AfterEach
    fun close() = endpoint.close()

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    @Test
    fun `tokens arrive while the stream is open, and the connection ends when the caller leaves`() = runBlocking {
        val tokens = Channel<String>(Channel.UNLIMITED)
        endpoint.server.answerWith(listOf((head + chunk("$event\n\n")).encodeToByteArray()), Ending.BY_CLIENT)
        val call = launch(Dispatchers.IO) { endpoint.generate { tokens.trySend(it) } }
        assertEquals("a", tokens.receive())
        call.cancelAndJoin()
        assertEquals(0, endpoint.server.endedByClient.take())
    }

    @Test
    fun `the connection ends when the caller leaves before the answer`() = runBlocking {
        endpoint.server.answerWith(emptyList(), Ending.BY_CLIENT)
        val call = launch(Dispatchers.IO) { endpoint.callService() }
        endpoint.server.requests.take()
        call.cancelAndJoin()
        assertEquals(0, endpoint.server.endedByClient.take())
    }

    @Test
    fun `an answer that falls silent is a failure, in its head and in its body`() {
        listOf("", head.take(9), head + chunk("a")).forEach { sent ->
            TestEndpoint(silenceTimeoutMilliseconds = 200).use { silent ->
                silent.server.answerWith(listOf(sent.encodeToByteArray()), Ending.BY_CLIENT)
                assertEquals(null, runBlocking { silent.callService() }, sent)
                assertEquals(0, silent.server.endedByClient.take())
            }
        }
    }

    @Test
    fun `a request whose connection closes without an answer is not sent again`() = runBlocking {
        endpoint.server.answerWith(emptyList())
        listOf("GET", "POST").forEach { assertEquals(null, endpoint.callService(it)) }
        assertEquals(2, endpoint.server.requests.size)
    }

    @Test
    fun `forwarded headers arrive once, those of the connection are the client's own`() = runBlocking {
        endpoint.server.answerWith(listOf("HTTP/1.1 204 No Content\r\n\r\n".encodeToByteArray()))
        val forwarded = listOf("Via: 1.1 a", "From: a@b", "Warning: 199 - x", "Date: Sat, 05 Dec 2026 00:00:00 GMT")
        val headers = (forwarded + "Connection: keep-alive").map {
            Header(it.substringBefore(':'), it.substringAfter(": "))
        }
        val answer = async(Dispatchers.IO) { endpoint.callService("PUT", headers) }.await()
        assertEquals("", answer)
        val request = endpoint.server.requests.take()
        assertEquals(forwarded.sorted(), request.filter { it in forwarded }.sorted())
        assertEquals(listOf("Connection: close"), request.filter { it.startsWith("Connection:") })
        assertEquals("PUT /x HTTP/1.1", request.first())
    }
}
