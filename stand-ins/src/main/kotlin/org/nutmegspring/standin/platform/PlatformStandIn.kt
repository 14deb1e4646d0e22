package org.nutmegspring.standin.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.EndpointOrder
import org.nutmegspring.platform.EndpointPool
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.PoolState
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.standin.server.StandInServer
import org.nutmegspring.standin.server.startStandInServer
import org.nutmegspring.storeclient.ConflictReply
import org.nutmegspring.storeclient.PlatformPaths
import org.nutmegspring.storeclient.WriteReply
import org.nutmegspring.storeclient.platformJson
import org.nutmegspring.time.systemMonotonicClock
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** A small stand-in of the platform: objects, lists, orders of endpoints and usage reports, all in memory. */
class PlatformStandIn {
    private val clock = systemMonotonicClock()
    private val changes = MutableStateFlow(0L)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val refused = AtomicLong()
    private val lostReplies = AtomicInteger()

    /** The objects. */
    val objects: InMemoryObjects = InMemoryObjects()

    /** The instances as they are now; readers of the API see them with a lag. */
    val instances: LaggingList<InstanceId, ListedInstance> = LaggingList(clock)

    /** The endpoints as they are now; readers of the API see them with a lag. */
    val endpoints: LaggingList<EndpointId, ListedEndpoint> = LaggingList(clock)

    /** The pools of endpoints. */
    val pools: OrderedPools = OrderedPools()

    /** The usage reports. */
    val usage: ReceivedUsage = ReceivedUsage()

    /** The faults that the API shows. */
    @Volatile
    var faults: PlatformFaults = PlatformFaults()
        set(value) {
            field = value
            lostReplies.set(value.lostReplies)
        }

    /** Returns the calls counted so far. */
    fun counters(): PlatformCounters = PlatformCounters(reads.get(), writes.get(), refused.get())

    /** Serves the API at [host] and [port]; port 0 takes a free one. */
    fun start(host: String, port: Int): StandInServer = startStandInServer(host, port) {
        routing {
            objectRoutes()
            listRoutes()
            orderRoutes()
            controlRoutes()
        }
    }

    private fun Route.objectRoutes() {
        get(PlatformPaths.OBJECT) {
            answer(reads) {
                val found = objects.read(call.key())
                if (found ==
                    null
                ) {
                    call.respond(HttpStatusCode.NotFound)
                } else {
                    call.json(VersionedObject.serializer(), found)
                }
            }
        }
        get(PlatformPaths.OBJECTS) {
            answer(reads) {
                val prefix = ObjectKey(call.request.queryParameters["prefix"].orEmpty())
                call.json(ListSerializer(VersionedObject.serializer()), objects.list(prefix))
            }
        }
        get(PlatformPaths.WATCH) { answer(reads) { watch(call) } }
        put(PlatformPaths.OBJECT) {
            val value = call.receiveText()
            answer(writes) { write(call, value) }
        }
        delete(PlatformPaths.OBJECT) { answer(writes) { remove(call) } }
    }

    private suspend fun write(call: ApplicationCall, value: String) {
        if (value.length > MAXIMUM_VALUE_CHARACTERS) return call.respond(HttpStatusCode.PayloadTooLarge)
        val condition = call.condition() ?: return call.respond(HttpStatusCode.BadRequest)
        objects.write(call.key(), value, condition).fold(
            { call.conflict(it) },
            { version ->
                changes.value = version.value
                if (loseReply()) {
                    call.coroutineContext.cancel()
                } else {
                    call.json(
                        WriteReply.serializer(),
                        WriteReply(version),
                    )
                }
            },
        )
    }

    private suspend fun remove(call: ApplicationCall) {
        val condition = call.condition() as? WriteCondition.AtVersion ?: return call.respond(HttpStatusCode.BadRequest)
        objects.delete(call.key(), condition.version).fold(
            { call.conflict(it) },
            { if (loseReply()) call.coroutineContext.cancel() else call.respond(HttpStatusCode.NoContent) },
        )
    }

    private suspend fun watch(call: ApplicationCall) {
        val key = call.key()
        val after = call.request.queryParameters["after"]?.toLongOrNull()
        val timeout = (call.request.queryParameters["timeoutMillis"]?.toLongOrNull() ?: 0).milliseconds
        val found = withTimeoutOrNull(timeout) {
            changes.first { (objects.read(key)?.version?.value ?: 0) > (after ?: 0) }
            objects.read(key)
        }
        if (found == null) call.respond(HttpStatusCode.NoContent) else call.json(VersionedObject.serializer(), found)
    }

    private fun Route.listRoutes() {
        get(PlatformPaths.INSTANCES) {
            answer(reads) {
                call.json(ListSerializer(ListedInstance.serializer()), instances.values(lag()))
            }
        }
        put(PlatformPaths.INSTANCES) {
            val instance = call.body(ListedInstance.serializer())
            instances.set(instance.id, instance)
            call.respond(HttpStatusCode.NoContent)
        }
        delete(PlatformPaths.INSTANCES) {
            instances.set(InstanceId(call.request.queryParameters["id"].orEmpty()), null)
            call.respond(HttpStatusCode.NoContent)
        }
        get(PlatformPaths.ENDPOINTS) {
            answer(reads) {
                call.json(ListSerializer(ListedEndpoint.serializer()), endpoints.values(lag()))
            }
        }
        put(PlatformPaths.ENDPOINTS) {
            val endpoint = call.body(ListedEndpoint.serializer())
            endpoints.set(endpoint.endpoint.id, endpoint)
            call.respond(HttpStatusCode.NoContent)
        }
        delete(PlatformPaths.ENDPOINTS) {
            endpoints.set(EndpointId(call.request.queryParameters["id"].orEmpty()), null)
            call.respond(HttpStatusCode.NoContent)
        }
    }

    private fun Route.orderRoutes() {
        post(PlatformPaths.POOL) {
            val pool = call.body(EndpointPool.serializer())
            answer(reads) { call.json(PoolState.serializer(), pools.state(pool)) }
        }
        post(PlatformPaths.ENDPOINT_ORDERS) {
            val order = call.body(EndpointOrder.serializer())
            answer(writes) {
                val state = pools.place(order)
                when {
                    state == null -> call.respond(HttpStatusCode.Conflict)
                    loseReply() -> call.coroutineContext.cancel()
                    else -> call.json(PoolState.serializer(), state)
                }
            }
        }
        post(PlatformPaths.USAGE_REPORTS) {
            val report = call.body(UsageReport.serializer())
            answer(writes) {
                usage.accept(report)
                if (loseReply()) call.coroutineContext.cancel() else call.respond(HttpStatusCode.NoContent)
            }
        }
        get(PlatformPaths.USAGE_REPORTS) {
            call.json(ListSerializer(UsageReport.serializer()), usage.reports())
        }
    }

    private fun Route.controlRoutes() {
        put("/control/faults") {
            faults = call.body(PlatformFaults.serializer())
            call.respond(HttpStatusCode.NoContent)
        }
        get("/control/counters") { call.json(PlatformCounters.serializer(), counters()) }
    }

    private suspend fun io.ktor.server.routing.RoutingContext.answer(counter: AtomicLong, serve: suspend () -> Unit) {
        counter.incrementAndGet()
        val shown = faults
        if (shown.down) {
            refused.incrementAndGet()
            return call.respond(HttpStatusCode.ServiceUnavailable)
        }
        if (shown.delayMilliseconds > 0) delay(shown.delayMilliseconds)
        serve()
    }

    private fun loseReply(): Boolean = lostReplies.get() > 0 && lostReplies.decrementAndGet() >= 0

    private fun lag() = faults.listLagMilliseconds.milliseconds

    private companion object {
        const val MAXIMUM_VALUE_CHARACTERS = 1_000_000
    }
}

private fun ApplicationCall.key() = ObjectKey(request.queryParameters["key"].orEmpty())

private fun ApplicationCall.condition(): WriteCondition? {
    val version = request.header(HttpHeaders.IfMatch)?.toLongOrNull()
    return when {
        version != null -> WriteCondition.AtVersion(ObjectVersion(version))
        request.header(HttpHeaders.IfNoneMatch) == "*" -> WriteCondition.Absent
        else -> null
    }
}

private suspend fun ApplicationCall.conflict(conflict: StoreFailure.Conflict) =
    json(ConflictReply.serializer(), ConflictReply(conflict.current), HttpStatusCode.PreconditionFailed)

private suspend fun <T> ApplicationCall.json(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(platformJson.encodeToString(serializer, value), ContentType.Application.Json, status)

private suspend fun <T> ApplicationCall.body(serializer: KSerializer<T>): T =
    platformJson.decodeFromString(serializer, receiveText())
