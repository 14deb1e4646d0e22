package org.nutmegspring.node

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.CallPattern
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Service
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.node.configuration.createInitialChain
import org.nutmegspring.node.configuration.hashSecret
import org.nutmegspring.node.instance.Instance
import org.nutmegspring.node.instance.startInstance
import org.nutmegspring.node.settings.SettingsLoader
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.standin.engine.EngineCost
import org.nutmegspring.standin.engine.EngineStandIn
import org.nutmegspring.standin.engine.EngineStandInSettings
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.standin.service.ServiceStandIn
import kotlin.time.Duration.Companion.seconds

/** A platform stand-in, two engines, a plain service and [count] instances on loopback. */
class TestFleet(count: Int = 1, private val cost: EngineCost = EngineCost()) : AutoCloseable {
    private val resources = ArrayDeque<AutoCloseable>()
    private val dataCentre = DataCentreId("rennes")
    private val service = ServiceId("tags")
    val key = "nsk_secret-of-the-caller"
    val operatorToken = "token-of-the-operator"
    val smallKey = "nsk_secret-of-a-small-caller"
    val platform = PlatformStandIn()
    val services = ServiceStandIn(service.value)
    val engines: List<EngineStandIn>
    val instances: List<Instance>
    val instance: Instance get() = instances.first()
    val client = HttpClient(CIO).also { resources.addFirst(it) }

    init {
        val platformAddress = platform.start(HOST, 0).also { resources.addFirst(it) }.address
        engines = (1..2).map { startEngine(it) }
        val serviceAddress = services.start(HOST, 0).also { resources.addFirst(it) }.address
        addToListing(EndpointDescription(EndpointId("tags-1"), EndpointKind.Plain(service), dataCentre, serviceAddress))
        writeConfiguration()
        instances = (1..count).map { number ->
            startInstance(settings(number, platformAddress)).also {
                resources.addFirst(it)
                addToListing(it, number)
            }
        }
        runBlocking { awaitTrue { instances.all { isReady(it) && listsAllInstances(it) } } }
    }

    private suspend fun isReady(instance: Instance) =
        client.get("http://${instance.callerAddress}/readyz").status == HttpStatusCode.OK

    private suspend fun listsAllInstances(instance: Instance): Boolean {
        val listing = client.get("http://${instance.callerAddress}/v1/instances").bodyAsText()
        return instances.all { it.callerAddress in listing }
    }

    private fun addToListing(instance: Instance, number: Int) {
        val id = InstanceId("entry-$number")
        val addresses = instance.callerAddress to instance.innerAddress
        val listed = ListedInstance(id, dataCentre, addresses.first, addresses.second, ListedState.LIVE)
        platform.instances.set(id, listed)
    }

    fun post(
        path: String,
        body: String,
        bearer: String? = key,
        at: Instance = instance,
        idempotencyKey: String? = null,
    ): HttpStatement = runBlocking {
        client.preparePost("http://${at.callerAddress}$path") {
            bearer?.let { header(HttpHeaders.Authorization, "Bearer $it") }
            idempotencyKey?.let { header("Idempotency-Key", it) }
            setBody(body)
        }
    }

    override fun close() = resources.forEach { it.close() }

    private fun startEngine(number: Int): EngineStandIn {
        val id = EndpointId("engine-$number")
        val unbound = EndpointDescription(id, EndpointKind.Engine, dataCentre, "$HOST:0")
        val engine = EngineStandIn(EngineStandInSettings(unbound, cost = cost)).also { resources.addFirst(it) }
        addToListing(unbound.copy(address = engine.start(HOST, 0).address))
        return engine
    }

    private fun addToListing(endpoint: EndpointDescription) =
        platform.endpoints.set(endpoint.id, ListedEndpoint(endpoint, ListedState.LIVE))

    private fun writeConfiguration() {
        val organisation = Organisation(OrganisationId("theatre"), "Theatre", TokenRate(1_000_000, 1_000_000))
        val small = Organisation(OrganisationId("small"), "Small", TokenRate(10, 300))
        val values = listOf(
            PartValue.OrganisationValue(organisation),
            PartValue.OrganisationValue(small),
            PartValue.KeyValue(ApiKey(KeyId("k1"), organisation.id, hashSecret(key))),
            PartValue.KeyValue(ApiKey(KeyId("k2"), small.id, hashSecret(smallKey))),
            PartValue.ServiceValue(Service(service, notRepeatable = listOf(CallPattern("POST", "/confirm")))),
        )
        createInitialChain(values, OperatorName("test")).forEach { (key, text) ->
            platform.objects.write(key, text, WriteCondition.Absent)
        }
    }

    private fun settings(number: Int, platformAddress: String) = SettingsLoader().parse(
        "test",
        """
        instance: { id: entry-$number, dataCentre: rennes }
        callers: { address: "$HOST:0", maximumBodyBytes: 100000, addressLifetimeSeconds: 1 }
        inner: { address: "$HOST:0" }
        platform: { address: "$platformAddress" }
        administration: { operators: [ { name: anne, tokenHash: ${hashSecret(operatorToken).value} } ] }
        traces: { exporter: log }
        """.trimIndent(),
    ).fold({ error(it) }, { it })

    companion object {
        private const val HOST = "127.0.0.1"

        /** Suspends until [condition] holds, for up to 60 seconds. */
        suspend fun awaitTrue(condition: suspend () -> Boolean) = withTimeout(60.seconds) {
            while (!condition()) delay(20)
        }
    }
}
