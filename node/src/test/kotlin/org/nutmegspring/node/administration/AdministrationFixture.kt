package org.nutmegspring.node.administration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.node.configuration.ConfigurationEnvironment
import org.nutmegspring.node.configuration.createConfigurationRuntime
import org.nutmegspring.node.configuration.hashSecret
import org.nutmegspring.node.membership.InstancePhase
import org.nutmegspring.node.membership.MemberState
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.node.settings.OperatorSettings
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.standin.platform.InMemoryObjects
import org.nutmegspring.time.systemMonotonicClock
import kotlin.time.Duration

/** Serves the administration API of a single instance, backed by an in-memory store, on a loopback port. */
internal class AdministrationFixture : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val membership = SingleMembership()
    val runtime = createConfigurationRuntime(
        ConfigurationEnvironment(
            InMemoryStore(),
            UnreachableNetwork(),
            membership,
            systemMonotonicClock(),
            InvariantMonitor(null) { error(it.toString()) },
        ),
    )
    private val routes =
        AdministrationRoutes(runtime, membership, listOf(OperatorSettings("anne", hashSecret(TOKEN).value)))
    private val server = embeddedServer(io.ktor.server.cio.CIO, port = 0, host = "127.0.0.1") {
        routing { routes.addTo(this) }
    }.start()
    private val port = runBlocking { server.engine.resolvedConnectors().first().port }
    private val client = HttpClient(CIO)

    init {
        runtime.start(scope)
    }

    suspend fun call(
        method: HttpMethod,
        path: String,
        body: String? = null,
        token: String? = TOKEN,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse = client.request("http://127.0.0.1:$port/admin/v1/$path") {
        this.method = method
        token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        headers.forEach { (name, value) -> header(name, value) }
        body?.let { setBody(it) }
    }

    override fun close() {
        client.close()
        server.stop(0, 0)
        scope.cancel()
    }

    private class SingleMembership : Membership {
        override val self = MemberState(
            InstanceId("entry-1"),
            Incarnation(1),
            DataCentreId("rennes"),
            "",
            "",
            InstancePhase.READY,
            0.0,
            Revision.NONE,
            Duration.ZERO,
            null,
        )
        override val isSelfListed = true

        override fun peers(): List<MemberState> = emptyList()

        override fun listedInstances(): Set<InstanceId> = setOf(self.id)
    }

    private class UnreachableNetwork : InnerNetwork {
        override fun addHandler(handler: InnerHandler) = Unit

        override suspend fun exchange(
            to: InstanceId,
            request: InnerRequest,
            timeout: Duration,
        ): Either<Failure, InnerReply> = Failure(Step.EXCHANGE, Peer("$to"), Effect.NOT_RUN, "no such instance").left()
    }

    private class InMemoryStore : ObjectStore {
        private val objects = InMemoryObjects()

        override suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?> = objects.read(key).right()

        override suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>> =
            objects.list(prefix).right()

        override suspend fun write(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ): Either<StoreFailure, ObjectVersion> = objects.write(key, value, condition)

        override suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit> =
            objects.delete(key, version)

        override suspend fun watch(
            key: ObjectKey,
            after: ObjectVersion?,
            timeout: Duration,
        ): Either<StoreFailure, VersionedObject?> = read(key)
    }

    companion object {
        const val TOKEN = "operator-token"
    }
}
