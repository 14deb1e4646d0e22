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
    private val logged = ListAppender<ILoggingEvent>().apply { start() }

    @BeforeAll
    fun observe() {
        val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
        root.level = Level.DEBUG
        root.addAppender(logged)
        fleet.instance
    }

    @AfterAll
    fun stop() {
        fleet.close()
        (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger).detachAppender(logged)
    }

    private fun chat(text: String, stream: Boolean, more: String = "") =
        """{"model":"ledger-small","stream":$stream,"messages":[{"role":"user","content":"$text"}]$more}"""

    private fun status(path: String, body: String, key: String? = fleet.key): Pair<HttpStatusCode, String> =
        runBlocking { fleet.post(path, body, key).execute { it.status to it.bodyAsText() } }

    private fun chunks(body: String): List<CompletionChunk> = body.lines()
        .filter { it.startsWith("data: {") }
        .map { LENIENT.decodeFromString(CompletionChunk.serializer(), it.removePrefix("data: ")) }

    @Nested
    inner class `given a valid request` {
        @Test
        fun `streams the engine's whole text in its order and ends with the end mark`() {
            val (status, body) = status(CHAT, chat("which coats", stream = true))
            assertEquals(HttpStatusCode.OK, status)
            val text = chunks(body).joinToString("") { it.choices.firstOrNull()?.delta?.content.orEmpty() }
            assertEquals(GeneratedText("user: which coats").text(256), text)
            assertTrue(body.trim().endsWith("data: [DONE]"))
        }

        @Test
        fun `adds usage figures to a stream that asks for them`() {
            val body = status(CHAT, chat("usage", true, ""","stream_options":{"include_usage":true}""")).second
            val expected = GeneratedText("user: usage")
            assertEquals(
                expected.promptTokens to expected.length,
                chunks(body).last().usage.let {
                    it?.promptTokens to it?.completionTokens
                },
            )
        }

        @Test
        fun `answers whole when no stream is asked for`() {
            val (status, body) = status(
                "/v1/completions",
                """{"model":"ledger-small","prompt":"once","max_tokens":5}""",
            )
            assertEquals(HttpStatusCode.OK, status)
            val answer = Json.decodeFromString(CompletionAnswer.serializer(), body)
            assertEquals(GeneratedText("once").text(5), answer.choices.single().text)
            assertEquals("length", answer.choices.single().finishReason)
        }

        @Test
        fun `cancels the work at the engine when the caller goes away`() = runBlocking {
            fleet.post(CHAT, chat("long answer that is not read", stream = true)).execute { response ->
                response.bodyAsChannel().readLine()
            }
            TestFleet.awaitTrue { fleet.engines.sumOf { it.state().runningRequests } == 0 }
        }

        @Test
        fun `passes a call of a plain service on and its answer back`() {
            val (status, body) = status("/services/tags/redeem?day=2", "seventeen")
            assertEquals(HttpStatusCode.OK, status)
            assertContains(body, "\"path\":\"/redeem\"")
            assertContains(body, "\"body\":\"seventeen\"")
        }
    }

    @Nested
    inner class `given a request that is not valid` {
        @Test
        fun `refuses it with a status and a code of its own`() {
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
                val (answered, text) = status(CHAT, body)
                assertEquals(status, answered, body.take(80))
                assertContains(text, "\"code\":\"$code\"")
                assertContains(text, "\"outcome\":\"not_run\"")
            }
        }

        @Test
        fun `refuses a missing and an unknown key alike`() {
            listOf(null, "nsk_unknown", "").forEach { key ->
                val (status, body) = status(CHAT, chat("x", false), key)
                assertEquals(HttpStatusCode.Unauthorized, status)
                assertContains(body, "invalid_api_key")
            }
        }

        @Test
        fun `refuses an unknown service`() {
            assertEquals(HttpStatusCode.NotFound, status("/services/none/x", "").first)
        }
    }

    @Nested
    inner class `given a caller's key` {
        @Test
        fun `no endpoint, log, span or metric shows it`() = runBlocking {
            status(CHAT, chat("secret", stream = true))
            status("/services/tags/redeem", "x")
            status(CHAT, chat("secret", stream = false), fleet.key + "-wrong")
            val metrics = fleet.client.get("http://${fleet.instance.callerAddress}/metrics").bodyAsText()
            val seen = logged.list.toList().joinToString {
                "${it.formattedMessage} ${it.keyValuePairs} ${it.throwableProxy}"
            }
            assertContains(seen, "span=\"engine\"")
            assertFalse(fleet.key in seen + metrics)
            assertEquals(0, fleet.engines.sumOf { it.credentialsSeen } + fleet.services.credentialsSeen)
        }

        @Test
        fun `a request has a span for each hop in one trace and a log line with its id`() = runBlocking {
            val id = fleet.post(CHAT, chat("traced", stream = false)).execute { it.headers["X-Request-Id"] }
            TestFleet.awaitTrue { lines(id).size == 3 }
            val spans = lines(id).filter { "span" in it }
            assertEquals(listOf("engine", "entry"), spans.map { it["span"] })
            assertEquals(1, spans.map { it["trace"] }.distinct().size)
            assertEquals(spans.last()["id"], spans.first()["parent"])
        }

        private fun lines(request: String?): List<Map<String, String>> = logged.list.toList()
            .map { line -> line.keyValuePairs.orEmpty().associate { it.key to "${it.value}" } }
            .filter { it["request"] == request }
    }

    private companion object {
        const val CHAT = "/v1/chat/completions"
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
