package org.nutmegspring.standin.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.ChunkChoice
import org.nutmegspring.endpoint.ChunkDelta
import org.nutmegspring.endpoint.CompletionChunk
import org.nutmegspring.endpoint.CompletionUsage
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.standin.server.StandInServer
import org.nutmegspring.standin.server.startStandInServer

internal fun startEngineServer(engine: EngineStandIn, host: String, port: Int): StandInServer =
    startStandInServer(host, port, engine.settings.idleLimitSeconds) {
        routing {
            post("/v1/chat/completions") { EngineCall(engine, call, chat = true).serve() }
            post("/v1/completions") { EngineCall(engine, call, chat = false).serve() }
            controlRoutes(engine)
        }
    }

private fun Route.controlRoutes(engine: EngineStandIn) {
    get(EngineProtocol.LOAD_PATH) { call.json(LoadReport.serializer(), engine.report) }
    get(EngineProtocol.STATE_PATH) { call.json(EngineState.serializer(), engine.state()) }
    post(EngineProtocol.ORDERS_PATH) {
        val order = engineJson.decodeFromString(EngineOrder.serializer(), call.receiveText())
        val accepted = engine.order(order)
        val status = if (accepted) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.json(EngineState.serializer(), engine.state(), status)
    }
    delete("${EngineProtocol.REQUESTS_PATH}/{id}") {
        val found = engine.cancel(call.parameters["id"].orEmpty())
        call.respond(if (found) HttpStatusCode.NoContent else HttpStatusCode.NotFound)
    }
    get(EngineProtocol.CACHE_PATH) { call.json(ListSerializer(Long.serializer()), engine.exportCache()) }
    put(EngineProtocol.CACHE_PATH) {
        engine.importCache(engineJson.decodeFromString(ListSerializer(Long.serializer()), call.receiveText()))
        call.respond(HttpStatusCode.NoContent)
    }
}

@Serializable
internal data class EngineMessage(val role: String = "user", val content: String = "")

@Serializable
internal data class EngineRequest(
    val model: String,
    val messages: List<EngineMessage> = emptyList(),
    val prompt: String? = null,
    @SerialName("max_tokens") val maximumTokens: Long = DEFAULT_MAXIMUM_TOKENS,
    val stream: Boolean = false,
) {
    /** The text that the model continues. */
    fun text(): String = prompt ?: messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

private class EngineCall(
    private val engine: EngineStandIn,
    private val call: ApplicationCall,
    private val chat: Boolean,
) {
    private val id = call.request.header(EngineProtocol.REQUEST_ID_HEADER) ?: "none"

    suspend fun serve() {
        call.response.header(EngineProtocol.REQUEST_ID_HEADER, id)
        if (call.request.header(HttpHeaders.Authorization) != null) engine.noteCredentials()
        val request = engineJson.decodeFromString(EngineRequest.serializer(), call.receiveText())
        if (!engine.available) return call.respond(HttpStatusCode.ServiceUnavailable, "changing")
        if (request.model != engine.state().target.model.value) return call.respond(HttpStatusCode.NotFound)
        val priority = call.request.header(EngineProtocol.PRIORITY_HEADER)?.toIntOrNull() ?: 0
        val resume = call.request.header(EngineProtocol.RESUME_HEADER)?.toLongOrNull() ?: 0
        val job = engine.begin(id, priority, request.text(), request.maximumTokens, resume)
        try {
            if (request.stream) stream(request, job) else whole(request, job)
        } finally {
            engine.end(job)
        }
    }

    private suspend fun stream(request: EngineRequest, job: EngineJob) =
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var sent = job.next
            for (position in engine.tokensOf(job)) {
                event(chunk(request, position + 1, job.text.token(position), null, null))
                sent = position + 1
            }
            event(chunk(request, sent, null, finishReason(job, sent), usage(job, sent)))
            writeStringUtf8("data: [DONE]\n\n")
            flush()
        }

    private suspend fun whole(request: EngineRequest, job: EngineJob) {
        val text = StringBuilder()
        var sent = job.next
        for (position in engine.tokensOf(job)) {
            text.append(job.text.token(position))
            sent = position + 1
        }
        val chunk = chunk(request, sent, text.toString(), finishReason(job, sent), usage(job, sent))
        call.json(CompletionChunk.serializer(), chunk)
    }

    private fun finishReason(job: EngineJob, sent: Long) = if (sent >= job.text.length) "stop" else "length"

    private fun usage(job: EngineJob, sent: Long) = CompletionUsage(job.text.promptTokens, sent)

    private fun chunk(
        request: EngineRequest,
        position: Long,
        text: String?,
        finishReason: String?,
        usage: CompletionUsage?,
    ): CompletionChunk {
        val delta = if (chat) ChunkDelta(content = text) else null
        val choice = ChunkChoice(delta = delta, text = if (chat) null else text.orEmpty(), finishReason = finishReason)
        val type = if (chat) "chat.completion.chunk" else "text_completion"
        return CompletionChunk(id, type, 0, request.model, listOf(choice), usage, position)
    }

    private suspend fun ByteWriteChannel.event(chunk: CompletionChunk) {
        writeStringUtf8("data: ${engineJson.encodeToString(CompletionChunk.serializer(), chunk)}\n\n")
        flush()
    }
}

private const val DEFAULT_MAXIMUM_TOKENS = 64L

private val engineJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

private suspend fun <T> ApplicationCall.json(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(engineJson.encodeToString(serializer, value), ContentType.Application.Json, status)
