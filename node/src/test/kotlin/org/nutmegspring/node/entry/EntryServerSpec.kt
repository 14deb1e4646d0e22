package org.nutmegspring.node.entry

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readLine
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.node.TestFleet
import org.nutmegspring.standin.engine.GeneratedText
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EntryServerSpec {
    private val fleet by lazy { TestFleet() }
    private val logAppender = ListAppender<ILoggingEvent>().apply { start() }

    @BeforeAll
    fun attachLogAppender() {
        val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
        root.level = Level.DEBUG
        root.addAppender(logAppender)
        fleet.instance
    }

    @AfterAll
    fun stop() {
        fleet.close()
        (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger).detachAppender(logAppender)
    }

    private fun chat(text: String, stream: Boolean, extraFields: String = "") =
        """{"model":"ledger-small","stream":$stream,"messages":[{"role":"user","content":"$text"}]$extraFields}"""

    private fun send(path: String, body: String, key: String? = fleet.key): Pair<HttpStatusCode, String> =
        runBlocking { fleet.post(path, body, key).execute { it.status to it.bodyAsText() } }

    private fun parseChunks(body: String): List<CompletionChunk> = body.lines()
        .filter { it.startsWith("data: {") }
        .map { LENIENT.decodeFromString(CompletionChunk.serializer(), it.removePrefix("data: ")) }

    @Nested
    inner class `given a valid request` {
        @Test
        fun `streams the engine's complete text in order, followed by the end marker`() {
            val (status, body) = send(CHAT, chat("which coats", stream = true))
            assertEquals(HttpStatusCode.OK, status)
            val text = parseChunks(body).joinToString("") { it.choices.firstOrNull()?.delta?.content.orEmpty() }
            assertEquals(GeneratedText("user: which coats").text(256), text)
            assertTrue(body.trim().endsWith("data: [DONE]"))
        }

        @Test
        fun `adds a usage chunk to a stream when it is requested`() {
            val body = send(CHAT, chat("usage", true, ""","stream_options":{"include_usage":true}""")).second
            val expected = GeneratedText("user: usage")
            assertEquals(
                expected.promptTokens to expected.length,
                parseChunks(body).last().usage.let {
                    it?.promptTokens to it?.completionTokens
                },
            )
        }

        @Test
        fun `returns a single answer when no stream is requested`() {
            val (status, body) = send(
                "/v1/completions",
                """{"model":"ledger-small","prompt":"once","max_tokens":5}""",
            )
            assertEquals(HttpStatusCode.OK, status)
            val answer = Json.decodeFromString(CompletionAnswer.serializer(), body)
            assertEquals(GeneratedText("once").text(5), answer.choices.single().text)
            assertEquals("length", answer.choices.single().finishReason)
        }

        @Test
        fun `cancels the work at the engine when the caller disconnects`() = runBlocking {
            fleet.post(CHAT, chat("long answer that is not read", stream = true)).execute { response ->
                response.bodyAsChannel().readLine()
            }
            TestFleet.awaitTrue { fleet.engines.sumOf { it.state().runningRequests } == 0 }
        }

        @Test
        fun `forwards a call to a plain service and returns its answer`() {
            val (status, body) = send("/services/tags/redeem?day=2", "seventeen")
            assertEquals(HttpStatusCode.OK, status)
            assertContains(body, "\"path\":\"/redeem\"")
            assertContains(body, "\"body\":\"seventeen\"")
        }
    }

    @Nested
    inner class `given an invalid request` {
        @Test
        fun `refuses it with a specific status and error code`() {
            val cases = listOf(
                Triple(HttpStatusCode.BadRequest, "invalid_request", "{"),
                Triple(HttpStatusCode.BadRequest, "invalid_request", "[]"),
                Triple(HttpStatusCode.BadRequest, "invalid_request", """{"messages":[]}"""),
                Triple(HttpStatusCode.BadRequest, "invalid_request", """{"model":"ledger-small","messages":[7]}"""),
                Triple(HttpStatusCode.BadRequest, "invalid_request", chat("x", false, ""","max_tokens":0""")),
                Triple(HttpStatusCode.BadRequest, "invalid_request", chat("x", false, ""","max_tokens":"many"""")),
                Triple(HttpStatusCode.BadRequest, "invalid_request", chat("x", false, ""","n":2""")),
                Triple(HttpStatusCode.NotFound, "model_not_found", chat("x", false).replace("ledger-small", "other")),
                Triple(HttpStatusCode.PayloadTooLarge, "body_too_large", chat("x".repeat(100_001), false)),
            )
            cases.forEach { (status, code, body) ->
                val (actualStatus, text) = send(CHAT, body)
                assertEquals(status, actualStatus, body.take(80))
                assertContains(text, "\"code\":\"$code\"")
                assertContains(text, "\"outcome\":\"not_run\"")
            }
        }

        @Test
        fun `refuses a missing and an unknown key with the same error`() {
            listOf(null, "nsk_unknown", "").forEach { key ->
                val (status, body) = send(CHAT, chat("x", false), key)
                assertEquals(HttpStatusCode.Unauthorized, status)
                assertContains(body, "invalid_api_key")
            }
        }

        @Test
        fun `refuses an unknown service`() {
            assertEquals(HttpStatusCode.NotFound, send("/services/none/x", "").first)
        }
    }

    @Nested
    inner class `given a caller's key` {
        @Test
        fun `no endpoint, log, span or metric contains it`() = runBlocking {
            send(CHAT, chat("secret", stream = true))
            send("/services/tags/redeem", "x")
            send(CHAT, chat("secret", stream = false), fleet.key + "-wrong")
            val metrics = fleet.client.get("http://${fleet.instance.callerAddress}/metrics").bodyAsText()
            val output = logAppender.list.toList().joinToString {
                "${it.formattedMessage} ${it.keyValuePairs} ${it.throwableProxy}"
            }
            assertContains(output, "span=\"engine\"")
            assertFalse(fleet.key in output + metrics)
            assertEquals(0, fleet.engines.sumOf { it.credentialsSeen } + fleet.services.credentialsSeen)
        }

        @Test
        fun `a request has one trace with a span per hop and a log line with its id`() = runBlocking {
            val id = fleet.post(CHAT, chat("traced", stream = false)).execute { it.headers["X-Request-Id"] }
            TestFleet.awaitTrue { findLogLines(id).size == 3 }
            val spans = findLogLines(id).filter { "span" in it }
            assertEquals(listOf("engine", "entry"), spans.map { it["span"] })
            assertEquals(1, spans.map { it["trace"] }.distinct().size)
            assertEquals(spans.last()["id"], spans.first()["parent"])
        }

        private fun findLogLines(request: String?): List<Map<String, String>> = logAppender.list.toList()
            .map { line -> line.keyValuePairs.orEmpty().associate { it.key to "${it.value}" } }
            .filter { it["request"] == request }
    }

    private companion object {
        const val CHAT = "/v1/chat/completions"
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
