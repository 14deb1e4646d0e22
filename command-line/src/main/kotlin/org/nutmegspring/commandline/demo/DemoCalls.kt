package org.nutmegspring.commandline.demo

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.node.http.SocketEngine
import java.io.PrintStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes the calls that show what the product does, and checks what comes back. */
class DemoCalls(
    private val address: String,
    private val key: String,
    private val out: PrintStream,
) : AutoCloseable {
    private val client = HttpClient(SocketEngine)

    /** Returns whether every call was answered as expected. */
    suspend fun run(): Boolean {
        if (withTimeoutOrNull(READY_TIMEOUT) { awaitReady() } == null) {
            out.println("the instance at $address did not become ready")
            return false
        }
        val results = listOf(
            show("streamed chat", chat(stream = true, key)) { it.contains("data: [DONE]") },
            show("whole chat", chat(stream = false, key)) { it.contains("\"finish_reason\"") },
            show("service call", service()) { it.contains("\"execution\"") },
            show("wrong key", chat(stream = false, "wrong"), HttpStatusCode.Unauthorized) { it.contains("not_run") },
        )
        return results.all { it }
    }

    override fun close() = client.close()

    private suspend fun awaitReady() {
        while (client.get("http://$address/readyz").status != HttpStatusCode.OK) delay(READY_INTERVAL)
    }

    private suspend fun chat(stream: Boolean, bearer: String) = client.post("http://$address/v1/chat/completions") {
        header(HttpHeaders.Authorization, "Bearer $bearer")
        contentType(ContentType.Application.Json)
        setBody(chatBody(stream))
    }

    private suspend fun service() = client.post("http://$address/services/tags/redeem") {
        header(HttpHeaders.Authorization, "Bearer $key")
        contentType(ContentType.Application.Json)
        setBody("""{"tag": 17}""")
    }

    private suspend fun show(
        title: String,
        response: HttpResponse,
        status: HttpStatusCode = HttpStatusCode.OK,
        expected: (String) -> Boolean,
    ): Boolean {
        val body = response.bodyAsText()
        val good = response.status == status && expected(body)
        out.println("== $title: ${response.status}${if (good) "" else " (unexpected)"}")
        out.println(body.trim())
        out.println()
        return good
    }

    /** Holds the body of the example call. */
    companion object {
        private val READY_TIMEOUT = 20.seconds
        private val READY_INTERVAL = 50.milliseconds

        /** Returns the body of the example chat. */
        fun chatBody(stream: Boolean): String =
            """{"model": "ledger-small", "stream": $stream, "max_tokens": 12, """ +
                """"messages": [{"role": "user", "content": "Which coats are still here?"}]}"""
    }
}
