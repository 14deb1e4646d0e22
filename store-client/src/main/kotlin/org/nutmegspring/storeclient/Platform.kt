package org.nutmegspring.storeclient

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonArray
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.EndpointOrdering
import org.nutmegspring.platform.EndpointPool
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.platform.PoolState
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.platform.UsageReporting
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import java.net.ConnectException
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The complete API of the platform. */
interface Platform : ObjectStore, PlatformLists, EndpointOrdering, UsageReporting, AutoCloseable

/**
 * Creates an HTTP client of the platform at [address], `host:port`. Each call waits at most [timeout]; a watch waits
 * that much longer than its own timeout.
 */
fun createHttpPlatform(address: String, timeout: Duration = DEFAULT_TIMEOUT): Platform = HttpPlatform(address, timeout)

private val DEFAULT_TIMEOUT = 3.seconds

private class HttpPlatform(address: String, private val callTimeout: Duration) : Platform {
    private val base = "http://$address"
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { connectTimeoutMillis = callTimeout.inWholeMilliseconds }
    }

    override suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?> =
        call(Step.READ_OBJECT, HttpMethod.Get, PlatformPaths.OBJECT, { parameter("key", key.value) }) { response ->
            if (response.status == HttpStatusCode.NotFound) null else response.decodeJson(VersionedObject.serializer())
        }

    override suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>> =
        call(Step.READ_OBJECT, HttpMethod.Get, PlatformPaths.OBJECTS, { parameter("prefix", prefix.value) }) {
            it.decodeEntries(VersionedObject.serializer())
        }

    override suspend fun write(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<StoreFailure, ObjectVersion> {
        val configureRequest: HttpRequestBuilder.() -> Unit = {
            parameter("key", key.value)
            when (condition) {
                WriteCondition.Absent -> header(HttpHeaders.IfNoneMatch, "*")
                is WriteCondition.AtVersion -> header(HttpHeaders.IfMatch, condition.version.value)
            }
            setBody(value)
        }
        return call(Step.WRITE_OBJECT, HttpMethod.Put, PlatformPaths.OBJECT, configureRequest) {
            it.decodeJson(WriteReply.serializer()).version
        }
    }

    override suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit> {
        val configureRequest: HttpRequestBuilder.() -> Unit = {
            parameter("key", key.value)
            header(HttpHeaders.IfMatch, version.value)
        }
        return call(Step.WRITE_OBJECT, HttpMethod.Delete, PlatformPaths.OBJECT, configureRequest) { }
    }

    override suspend fun watch(
        key: ObjectKey,
        after: ObjectVersion?,
        timeout: Duration,
    ): Either<StoreFailure, VersionedObject?> {
        val configureRequest: HttpRequestBuilder.() -> Unit = {
            parameter("key", key.value)
            after?.let { parameter("after", it.value) }
            parameter("timeoutMillis", timeout.inWholeMilliseconds)
            timeout { requestTimeoutMillis = (timeout + callTimeout).inWholeMilliseconds }
        }
        return call(Step.READ_OBJECT, HttpMethod.Get, PlatformPaths.WATCH, configureRequest) { response ->
            if (response.status == HttpStatusCode.NoContent) null else response.decodeJson(VersionedObject.serializer())
        }
    }

    override suspend fun instances(): Either<StoreFailure, List<ListedInstance>> =
        call(Step.READ_OBJECT, HttpMethod.Get, PlatformPaths.INSTANCES, {}) {
            it.decodeEntries(ListedInstance.serializer()) { entry ->
                requireSocketAddress(entry.callerAddress)
                requireSocketAddress(entry.innerAddress)
            }
        }

    override suspend fun endpoints(): Either<StoreFailure, List<ListedEndpoint>> =
        call(Step.READ_OBJECT, HttpMethod.Get, PlatformPaths.ENDPOINTS, {}) {
            it.decodeEntries(ListedEndpoint.serializer()) { entry -> requireSocketAddress(entry.endpoint.address) }
        }

    override suspend fun state(pool: EndpointPool): Either<StoreFailure, PoolState> =
        call(
            Step.READ_OBJECT,
            HttpMethod.Post,
            PlatformPaths.POOL,
            { setJsonBody(EndpointPool.serializer(), pool) },
        ) { it.decodeJson(PoolState.serializer()) }

    override suspend fun place(order: EndpointOrder): Either<StoreFailure, PoolState> =
        call(
            Step.ORDER,
            HttpMethod.Post,
            PlatformPaths.ENDPOINT_ORDERS,
            { setJsonBody(EndpointOrder.serializer(), order) },
        ) { it.decodeJson(PoolState.serializer()) }

    override suspend fun report(report: UsageReport): Either<StoreFailure, Unit> =
        call(
            Step.REPORT_USAGE,
            HttpMethod.Post,
            PlatformPaths.USAGE_REPORTS,
            { setJsonBody(UsageReport.serializer(), report) },
        ) { }

    override fun close() = client.close()

    private suspend fun <T> call(
        step: Step,
        method: HttpMethod,
        path: String,
        configureRequest: HttpRequestBuilder.() -> Unit,
        decodeResponse: suspend (HttpResponse) -> T,
    ): Either<StoreFailure, T> = try {
        val response = client.request(base + path) {
            this.method = method
            timeout { requestTimeoutMillis = callTimeout.inWholeMilliseconds }
            configureRequest()
        }
        when {
            response.status == HttpStatusCode.PreconditionFailed -> {
                StoreFailure.Conflict(response.decodeJson(ConflictReply.serializer()).current).left()
            }

            response.status.isSuccess() || response.status == HttpStatusCode.NotFound -> {
                decodeResponse(response).right()
            }

            else -> {
                createStatusFailure(step, response).left()
            }
        }
    } catch (cause: CancellationException) {
        throw cause
    } catch (cause: ConnectException) {
        StoreFailure.Refused(createFailure(step, cause.message ?: "connection refused", Effect.NOT_RUN)).left()
    } catch (cause: Exception) {
        StoreFailure.Unanswered(createFailure(step, cause.message ?: cause.toString(), Effect.UNKNOWN)).left()
    }

    private suspend fun createStatusFailure(step: Step, response: HttpResponse): StoreFailure {
        val message = "answered ${response.status.value}: ${response.bodyAsText().take(MAXIMUM_ERROR_CHARACTERS)}"
        val isNotRun = response.status in NOT_RUN_STATUSES
        return if (isNotRun) {
            StoreFailure.Refused(createFailure(step, message, Effect.NOT_RUN, 1.seconds))
        } else {
            StoreFailure.Unanswered(createFailure(step, message, Effect.UNKNOWN))
        }
    }

    private fun createFailure(step: Step, message: String, effect: Effect, retryAfter: Duration? = null) =
        Failure(step, Peer.PLATFORM, effect, message, retryAfter)

    private companion object {
        const val MAXIMUM_ERROR_CHARACTERS = 200
        val NOT_RUN_STATUSES = setOf(
            HttpStatusCode.BadRequest,
            HttpStatusCode.Conflict,
            HttpStatusCode.PayloadTooLarge,
            HttpStatusCode.TooManyRequests,
            HttpStatusCode.ServiceUnavailable,
        )
    }
}

private fun <T> HttpRequestBuilder.setJsonBody(serializer: KSerializer<T>, value: T) {
    contentType(ContentType.Application.Json)
    setBody(platformJson.encodeToString(serializer, value))
}

private suspend fun <T> HttpResponse.decodeJson(serializer: KSerializer<T>): T =
    platformJson.decodeFromString(serializer, bodyAsText())

/** Decodes a list. An entry that cannot be decoded or that [check] rejects, such as another writer's, is left out. */
private suspend fun <T : Any> HttpResponse.decodeEntries(
    serializer: KSerializer<T>,
    check: (T) -> Unit = { },
): List<T> = decodeJson(JsonArray.serializer()).mapNotNull { entry ->
    try {
        platformJson.decodeFromJsonElement(serializer, entry).also(check)
    } catch (unusable: IllegalArgumentException) {
        logger.warn { "an entry of a list is left out: ${unusable.message}" }
        null
    }
}

/** Throws an [IllegalArgumentException] unless [text] is an IP address with a port. */
private fun requireSocketAddress(text: String) {
    val uri = URI.create("http://$text")
    val isIpAddress = uri.host.orEmpty().let { host ->
        host.startsWith('[') || host.all { it in '0'..'9' || it == '.' }
    }
    val isWhole = uri.userInfo == null && uri.authority == text
    require(isIpAddress && uri.port in PORTS && isWhole) { "'$text' is no IP address with a port" }
}

private val logger = KotlinLogging.logger {}
private val PORTS = 1..65_535
