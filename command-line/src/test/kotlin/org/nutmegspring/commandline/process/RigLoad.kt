package org.nutmegspring.commandline.process

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.standin.engine.GeneratedText
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Callers that send chats and confirmations to the instances of [fleet] and check every answer. */
class RigLoad(private val fleet: ProcessFleet) : AutoCloseable {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_LIMIT_MILLISECONDS }
    }
    private val number = AtomicInteger()

    /** How many answers were whole and the caller's own. */
    val whole: AtomicInteger = AtomicInteger()

    /** How many confirmations were answered. */
    val confirmed: AtomicInteger = AtomicInteger()

    /** How many requests were refused as not run, by code. */
    val refused: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap()

    /** How many requests lost their connection before the end mark of the answer, by instance. */
    val lost: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap()

    /** Answers that were neither whole nor ended by an error that says so. */
    val wrong: ConcurrentLinkedQueue<String> = ConcurrentLinkedQueue()

    /** Starts [callers] callers. */
    fun start(scope: CoroutineScope, callers: Int): List<Job> = List(callers) { index ->
        scope.launch {
            while (isActive) if (index % CONFIRMING == 0) confirm() else chat()
        }
    }

    override fun close() = client.close()

    private suspend fun chat() {
        val prompt = "question ${number.incrementAndGet()}"
        val instance = fleet.instances.random()
        val body = """{"model":"ledger-small","stream":true,"messages":[{"role":"user","content":"$prompt"}]}"""
        val answer = send(instance, "/v1/chat/completions", body, null) ?: return
        if (answer.status != HttpStatusCode.OK) return refuse(answer)
        check(prompt, answer.text, instance)
    }

    private fun check(prompt: String, body: String, instance: RunningInstance) {
        val events = body.lines().filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
        val text = events.filter { "\"choices\"" in it }
            .map { JSON.decodeFromString(CompletionChunk.serializer(), it) }
            .joinToString("") { it.choices.firstOrNull()?.delta?.content.orEmpty() }
        val expected = GeneratedText("user: $prompt").text(DEFAULT_MAXIMUM_TOKENS)
        val ended = events.lastOrNull() == DONE
        val toldEarlyEnd = events.lastOrNull()?.startsWith("{\"error\"") ?: false
        when {
            ended && text == expected -> whole.incrementAndGet()
            toldEarlyEnd && expected.startsWith(text) -> refused("early end").incrementAndGet()
            !ended && expected.startsWith(text) -> lose(instance)
            else -> wrong.add("$prompt: got '$text' (${events.lastOrNull()}), expected '$expected'")
        }
    }

    private suspend fun confirm() {
        val key = "confirmation-${number.incrementAndGet()}"
        repeat(CONFIRM_ATTEMPTS) {
            val answer = send(fleet.instances.random(), "/services/tags/confirm", key, key) ?: return@repeat
            if (answer.status == HttpStatusCode.OK) {
                if ("\"body\":\"$key\"" !in answer.text) wrong.add("$key: ${answer.text}")
                confirmed.incrementAndGet()
                return
            }
            refuse(answer)
        }
    }

    private suspend fun send(instance: RunningInstance, path: String, body: String, idempotencyKey: String?): Answer? =
        try {
            val response = client.post("http://${instance.callerAddress}$path") {
                header(HttpHeaders.Authorization, "Bearer ${fleet.key}")
                idempotencyKey?.let { header("Idempotency-Key", it) }
                setBody(body)
            }
            Answer(response.status, response.bodyAsText())
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (_: IOException) {
            lose(instance)
            null
        }

    private fun lose(instance: RunningInstance) {
        lost.computeIfAbsent(instance.id) { AtomicInteger() }.incrementAndGet()
    }

    private fun refuse(answer: Answer) {
        val code = CODE.find(answer.text)?.groupValues?.get(1)
        if (code == null) wrong.add("${answer.status}: ${answer.text}") else refused(code).incrementAndGet()
    }

    private fun refused(code: String) = refused.computeIfAbsent(code) { AtomicInteger() }

    private class Answer(val status: HttpStatusCode, val text: String)

    private companion object {
        const val REQUEST_LIMIT_MILLISECONDS = 120_000L
        const val CONFIRMING = 4
        const val CONFIRM_ATTEMPTS = 5
        const val DATA = "data: "
        const val DONE = "[DONE]"
        const val DEFAULT_MAXIMUM_TOKENS = 256L
        val CODE = Regex("\"code\":\"([a-z_]+)\"")
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
