package org.nutmegspring.node.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the load reports of engines. */
fun interface LoadReportReader {
    /** Returns the current report of [engine]. */
    suspend fun read(engine: EndpointDescription): Either<Failure, LoadReport>
}

/** Reads load reports over HTTP, with [timeout] as the limit for each read. */
class HttpLoadReportReader(
    private val client: HttpClient,
    private val timeout: Duration = 1.seconds,
) : LoadReportReader {
    override suspend fun read(engine: EndpointDescription): Either<Failure, LoadReport> = try {
        withTimeoutOrNull(timeout) { fetch(engine) } ?: createFailure(engine, "no report within $timeout").left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (disconnected: IOException) {
        createFailure(engine, disconnected.message ?: disconnected.toString()).left()
    } catch (malformed: SerializationException) {
        createFailure(engine, "malformed report: ${malformed.message}").left()
    }

    private suspend fun fetch(engine: EndpointDescription): Either<Failure, LoadReport> {
        val response = client.get("http://${engine.address}${EngineProtocol.LOAD_PATH}")
        if (response.status != HttpStatusCode.OK) return createFailure(engine, "status ${response.status.value}").left()
        return JSON.decodeFromString(LoadReport.serializer(), response.bodyAsText()).right()
    }

    private fun createFailure(engine: EndpointDescription, message: String) =
        Failure(Step.READ_ANSWER, Peer("engine ${engine.id}"), Effect.NOT_RUN, message)

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
