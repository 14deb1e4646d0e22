package org.nutmegspring.measure.fleet

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
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
import org.nutmegspring.node.settings.Settings
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
import kotlin.time.Duration.Companion.milliseconds

/**
 * The size of a fleet in one process.
 *
 * @property rate the rate of each organisation
 */
data class LocalFleetSettings(
    val instances: Int = 3,
    val dataCentres: Int = 2,
    val enginesPerDataCentre: Int = 2,
    val cost: EngineCost = EngineCost(),
    val rate: TokenRate = TokenRate(tokensPerSecond = 100_000_000, burstTokens = 100_000_000),
)

/** A small fleet in one process: stand-ins, instances and two organisations. */
class LocalFleet(private val settings: LocalFleetSettings = LocalFleetSettings()) : AutoCloseable {
    private val owned = ArrayDeque<AutoCloseable>()
    private val platform = PlatformStandIn()
    private val dataCentres = DATA_CENTRES.take(settings.dataCentres)

    /** The key of the first organisation. */
    val key: String = "nsk_demo-theatre"

    /** The token of the operator. */
    val operatorToken: String = "demo-operator"

    /** The engines, in the order of [engineAddresses]. */
    val engines: MutableList<EngineStandIn> = mutableListOf()

    /** The addresses of the engines. */
    val engineAddresses: List<String>

    /** The instances. */
    val instances: List<Instance>

    init {
        val platformAddress = platform.start(HOST, 0).also { owned.addFirst(it) }.address
        engineAddresses = dataCentres.flatMap { dataCentre ->
            (1..settings.enginesPerDataCentre).map { startEngine(dataCentre, it) }
        }
        startService()
        configure()
        instances = (1..settings.instances).map { startListedInstance(instanceSettings(it, platformAddress)) }
    }

    /** Waits until every instance is ready. */
    suspend fun awaitReady() = HttpClient(CIO).use { client ->
        instances.forEach { instance ->
            while (!client.get("http://${instance.callerAddress}/readyz").status.isSuccess()) delay(READY_INTERVAL)
        }
    }

    override fun close() = owned.forEach { it.close() }

    private fun startListedInstance(settings: Settings): Instance {
        val instance = startInstance(settings).also { owned.addFirst(it) }
        val id = settings.instance.id
        val dataCentre = settings.instance.dataCentre
        val listed =
            ListedInstance(id, dataCentre, instance.callerAddress, instance.innerAddress, ListedState.LIVE)
        platform.instances.set(id, listed)
        return instance
    }

    private fun startEngine(dataCentre: DataCentreId, number: Int): String {
        val id = EndpointId("engine-$dataCentre-$number")
        val unbound = EndpointDescription(id, EndpointKind.Engine, dataCentre, "$HOST:0")
        val engine = EngineStandIn(EngineStandInSettings(unbound, cost = settings.cost))
        owned.addFirst(engine)
        engines.add(engine)
        val address = engine.start(HOST, 0).address
        list(unbound.copy(address = address))
        return address
    }

    private fun startService() {
        val server = ServiceStandIn(SERVICE.value).start(HOST, 0).also { owned.addFirst(it) }
        val id = EndpointId("tags-${dataCentres.first()}-1")
        list(EndpointDescription(id, EndpointKind.Plain(SERVICE), dataCentres.first(), server.address))
    }

    private fun list(endpoint: EndpointDescription) =
        platform.endpoints.set(endpoint.id, ListedEndpoint(endpoint, ListedState.LIVE))

    private fun configure() {
        val organisations = listOf("theatre", "festival").map { name ->
            Organisation(OrganisationId(name), name, settings.rate)
        }
        val apiKey = ApiKey(KeyId("demo"), organisations.first().id, hashSecret(key))
        val service = Service(SERVICE, notRepeatable = listOf(CallPattern("POST", "/confirm")))
        val values = organisations.map { PartValue.OrganisationValue(it) } +
            PartValue.KeyValue(apiKey) +
            PartValue.ServiceValue(service)
        createInitialChain(values, OperatorName("demo")).forEach { (key, text) ->
            platform.objects.write(key, text, WriteCondition.Absent)
        }
    }

    private fun instanceSettings(number: Int, platformAddress: String): Settings {
        val id = InstanceId("entry-$number")
        val dataCentre = dataCentres[number % dataCentres.size]
        val text = """
            instance: { id: $id, dataCentre: $dataCentre }
            callers: { address: "$HOST:0" }
            inner: { address: "$HOST:0" }
            platform: { address: "$platformAddress" }
            administration: { operators: [ { name: demo, tokenHash: ${hashSecret(operatorToken).value} } ] }
        """.trimIndent()
        return SettingsLoader().parse("demo", text).fold({ error(it.joinToString()) }, { it })
    }

    private companion object {
        const val HOST = "127.0.0.1"
        val READY_INTERVAL = 50.milliseconds
        val DATA_CENTRES = listOf(DataCentreId("rennes"), DataCentreId("brest"))
        val SERVICE = ServiceId("tags")
    }
}
