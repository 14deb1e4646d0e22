package org.nutmegspring.commandline.demo

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
import org.nutmegspring.node.configuration.hashOf
import org.nutmegspring.node.configuration.initialChain
import org.nutmegspring.node.instance.Instance
import org.nutmegspring.node.instance.startInstance
import org.nutmegspring.node.settings.Settings
import org.nutmegspring.node.settings.SettingsLoader
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.standin.engine.EngineStandIn
import org.nutmegspring.standin.engine.EngineStandInSettings
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.standin.service.ServiceStandIn

/** A small fleet in one process: stand-ins, three instances and two organisations. */
class DemoFleet : AutoCloseable {
    private val owned = ArrayDeque<AutoCloseable>()
    private val platform = PlatformStandIn()

    /** The key of the first organisation. */
    val key: String = "nsk_demo-theatre"

    /** The token of the operator. */
    val operatorToken: String = "demo-operator"

    /** The instances. */
    val instances: List<Instance>

    init {
        val platformAddress = platform.start(HOST, 0).also { owned.addFirst(it) }.address
        DATA_CENTRES.forEach { dataCentre -> repeat(ENGINES_PER_DATA_CENTRE) { startEngine(dataCentre, it + 1) } }
        startService()
        configure()
        instances = (1..INSTANCES).map { number ->
            startInstance(settings(number, platformAddress)).also {
                owned.addFirst(it)
                list(it, number)
            }
        }
    }

    override fun close() = owned.forEach { it.close() }

    private fun startEngine(dataCentre: DataCentreId, number: Int) {
        val id = EndpointId("engine-$dataCentre-$number")
        val unbound = EndpointDescription(id, EndpointKind.Engine, dataCentre, "$HOST:0")
        val engine = EngineStandIn(EngineStandInSettings(unbound)).also { owned.addFirst(it) }
        list(unbound.copy(address = engine.start(HOST, 0).address))
    }

    private fun startService() {
        val server = ServiceStandIn(SERVICE.value).start(HOST, 0).also { owned.addFirst(it) }
        val id = EndpointId("tags-${DATA_CENTRES.first()}-1")
        list(EndpointDescription(id, EndpointKind.Plain(SERVICE), DATA_CENTRES.first(), server.address))
    }

    private fun list(endpoint: EndpointDescription) =
        platform.endpoints.set(endpoint.id, ListedEndpoint(endpoint, ListedState.LIVE))

    private fun list(instance: Instance, number: Int) {
        val id = instanceId(number)
        val listed = ListedInstance(
            id,
            dataCentreOf(number),
            instance.callerAddress,
            instance.innerAddress,
            ListedState.LIVE,
        )
        platform.instances.set(id, listed)
    }

    private fun instanceId(number: Int) = InstanceId("entry-$number")

    private fun dataCentreOf(number: Int) = DATA_CENTRES[number % DATA_CENTRES.size]

    private fun configure() {
        val organisations = listOf("theatre", "festival").map { name ->
            Organisation(OrganisationId(name), name, TokenRate(tokensPerSecond = 2_000, burstTokens = 10_000))
        }
        val apiKey = ApiKey(KeyId("demo"), organisations.first().id, hashOf(key))
        val service = Service(SERVICE, notRepeatable = listOf(CallPattern("POST", "/confirm")))
        val values = organisations.map { PartValue.OrganisationValue(it) } +
            PartValue.KeyValue(apiKey) +
            PartValue.ServiceValue(service)
        initialChain(values, OperatorName("demo")).forEach { (key, text) ->
            platform.objects.write(key, text, WriteCondition.Absent)
        }
    }

    private fun settings(number: Int, platformAddress: String): Settings {
        val id = instanceId(number)
        val dataCentre = dataCentreOf(number)
        val text = """
            instance: { id: $id, dataCentre: $dataCentre }
            callers: { address: "$HOST:0" }
            inner: { address: "$HOST:0" }
            platform: { address: "$platformAddress" }
            administration: { operators: [ { name: demo, tokenHash: ${hashOf(operatorToken).value} } ] }
        """.trimIndent()
        return SettingsLoader().parse("demo", text).fold({ error(it.joinToString()) }, { it })
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val INSTANCES = 3
        const val ENGINES_PER_DATA_CENTRE = 2
        val DATA_CENTRES = listOf(DataCentreId("rennes"), DataCentreId("brest"))
        val SERVICE = ServiceId("tags")
    }
}
