package org.nutmegspring.node.engine

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.node.http.Ending
import org.nutmegspring.node.http.Framing
import org.nutmegspring.node.http.framings
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards `serve` against MIXED: an answer that was cut short counted as a whole one, empty or short.
class CutEndpointAnswerSpec {
    private val endpoint = TestEndpoint()

    @AfterEach
    fun close() = endpoint.close()

    /** Returns the cuts, of those [isCut] selects, after which [call] counts the answer as whole. */
    private fun wholeCuts(
        framings: List<Framing>,
        endings: List<Ending> = listOf(Ending.CLOSE),
        isCut: (Framing, Int) -> Boolean = { framing, cut -> cut in framing.cuts },
        call: suspend () -> Boolean,
    ): List<String> = framings.flatMap { framing ->
        framing.answer.indices.filter { isCut(framing, it) }.flatMap { cut ->
            endings.filter { ending ->
                endpoint.server.answerWith(listOf(framing.answer.copyOf(cut)), ending)
                runBlocking { call() }
            }.map { "$framing $it $cut" }
        }
    }

    @Nested
    inner class `given a plain service` {
        private val body = "confirmed, coat 17"

        @Test
        fun `its answer is read in every framing`() = framings(body, "X-Request-Id: r\n").forEach { framing ->
            endpoint.server.answerWith(listOf(framing.answer))
            assertEquals(body, runBlocking { endpoint.callService() }, "$framing")
            endpoint.server.answerWith(framing.answer.map { byteArrayOf(it) })
            assertEquals(body, runBlocking { endpoint.callService() }, "$framing, one byte a packet")
        }

        @Test
        fun `its answer cut at any byte is a failure`() {
            val whole =
                wholeCuts(framings(body, "X-Request-Id: r\n"), listOf(Ending.CLOSE, Ending.RESET)) {
                    endpoint.callService() !=
                        null
                }
            assertEquals(emptyList(), whole)
        }
    }

    @Nested
    inner class `given an engine` {
        private val event =
            """data: {"id":"r","object":"c","model":"m","choices":[{"index":0,"text":"a","finish_reason":"stop"}],""" +
                """"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2},"position":1}"""
        private val report =
            """{"engine":"e","target":{"role":"MIXED","model":"m","version":"1"},"changing":false,""" +
                """"queuedPromptTokens":0,"activeStreams":0,"queuedRequests":0,"sequence":1}"""

        @Test
        fun `its stream is read in every framing and fails at any cut before its last event`() {
            val framings = framings("$event\n\ndata: [DONE]\n\n")
            val isCut = { framing: Framing, cut: Int -> cut <= framing.answer.lastIndexOf(']'.code.toByte()) }
            framings.forEach { framing ->
                endpoint.server.answerWith(listOf(framing.answer))
                assertEquals(true, runBlocking { endpoint.generate() }, "$framing")
            }
            assertEquals(emptyList(), wholeCuts(framings, isCut = isCut) { endpoint.generate() })
        }

        @Test
        fun `its load report is read in every framing and fails at any cut`() {
            val framings = framings(report)
            framings.forEach { framing ->
                endpoint.server.answerWith(listOf(framing.answer))
                assertEquals(true, runBlocking { endpoint.readReport() }, "$framing")
            }
            assertEquals(emptyList(), wholeCuts(framings) { endpoint.readReport() })
        }
    }
}
