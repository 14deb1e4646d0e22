package org.nutmegspring.standin.service

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.standin.server.StandInServer
import org.nutmegspring.standin.server.startStandInServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The answer of the service stand-in. [execution] counts all executions of this process. */
@Serializable
data class ServiceAnswer(
    val service: String,
    val method: String,
    val path: String,
    val body: String,
    val execution: Long,
)

/** How many calls have run, and how many at most with one idempotency key. */
@Serializable
data class ExecutionCounts(
    val total: Long,
    val mostOfOneKey: Long,
)

/** A small plain service that counts its executions by idempotency key, so that a repeat shows. */
class ServiceStandIn(private val name: String) {
    private val executions = AtomicLong()
    private val credentials = AtomicLong()
    private val executionsByKey = ConcurrentHashMap<String, AtomicLong>()

    /** How many calls have run. */
    val executed: Long get() = executions.get()

    /** How many calls carried an `Authorization` header. */
    val credentialsSeen: Long get() = credentials.get()

    /** Returns how many calls with the idempotency key [key] have run. */
    fun executed(key: String): Long = executionsByKey[key]?.get() ?: 0

    /** The greatest number of executions of one idempotency key. */
    val mostExecutionsOfOneKey: Long get() = executionsByKey.values.maxOfOrNull { it.get() } ?: 0

    /** Serves calls at [host] and [port]; port 0 takes a free one. */
    fun start(host: String, port: Int): StandInServer = startStandInServer(host, port) {
        routing {
            get(EXECUTIONS_PATH) { call.json(ExecutionCounts.serializer(), counts()) }
            route("{path...}") { handle { call.execute() } }
        }
    }

    private suspend fun ApplicationCall.execute() {
        val body = receiveText()
        if (request.header(HttpHeaders.Authorization) != null) credentials.incrementAndGet()
        val execution = executions.incrementAndGet()
        request.header("Idempotency-Key")?.let { key ->
            executionsByKey.computeIfAbsent(key) { AtomicLong() }.incrementAndGet()
        }
        val id = request.header(EngineProtocol.REQUEST_ID_HEADER)
        id?.let { response.header(EngineProtocol.REQUEST_ID_HEADER, it) }
        val answer = ServiceAnswer(name, request.httpMethod.value, request.path(), body, execution)
        json(ServiceAnswer.serializer(), answer)
    }

    private fun counts() = ExecutionCounts(executed, mostExecutionsOfOneKey)

    private suspend fun <T> ApplicationCall.json(serializer: KSerializer<T>, value: T) =
        respondText(Json.encodeToString(serializer, value), ContentType.Application.Json)

    /** Holds the path of the counters. */
    companion object {
        /** Answers with [ExecutionCounts] and counts as no execution. */
        const val EXECUTIONS_PATH: String = "/executions"
    }
}
