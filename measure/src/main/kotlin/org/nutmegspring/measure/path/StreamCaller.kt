package org.nutmegspring.measure.path

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.utils.io.readLine

/** Sends streamed chats and times their tokens. */
internal class StreamCaller(
    private val key: String,
    private val tokens: Int,
) : AutoCloseable {
    private val client = HttpClient(CIO) {
        engine {
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAXIMUM_CONNECTIONS }
        }
    }

    /** Sends a chat whose prompt holds [number] to [address] and records its times in [timings]. */
    suspend fun call(address: String, number: Int, timings: StreamTimings) {
        val started = System.nanoTime()
        var last = 0L
        var received = 0
        val whole = client.preparePost("http://$address/v1/chat/completions") {
            header(HttpHeaders.Authorization, "Bearer $key")
            setBody(body(number))
        }.execute { response ->
            val channel = response.bodyAsChannel()
            var ended = false
            while (!ended) {
                val line = channel.readLine() ?: break
                ended = line == END
                if (!line.contains("\"content\"")) continue
                val now = System.nanoTime()
                if (received++ ==
                    0
                ) {
                    timings.firstToken.recordValue(now - started)
                } else {
                    timings.nextToken.recordValue(now - last)
                }
                last = now
            }
            ended
        }
        if (!whole || received == 0) timings.countFailure()
    }

    override fun close() = client.close()

    private fun body(number: Int) =
        """{"model":"ledger-small","stream":true,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$number"}]}"""

    private companion object {
        const val MAXIMUM_CONNECTIONS = 1_000
        const val END = "data: [DONE]"
    }
}
