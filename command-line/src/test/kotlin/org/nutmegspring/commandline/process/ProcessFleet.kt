package org.nutmegspring.commandline.process

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.administration.KeyGrantAnswer
import org.nutmegspring.node.configuration.hashSecret
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.standin.platform.registerInstance
import org.nutmegspring.standin.service.ExecutionCounts
import org.nutmegspring.standin.service.ServiceStandIn
import org.nutmegspring.storeclient.PlatformPaths
import java.io.File
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** An instance that runs as a process of its own. */
class RunningInstance(
    val id: String,
    val process: ProductProcess,
    val callerAddress: String,
    val innerAddress: String,
)

/** Stand-ins and instances as separate processes on loopback. */
class ProcessFleet(private val folder: File) : AutoCloseable {
    private val log = File(folder, "processes.log")
    private val processes = CopyOnWriteArrayList<ProductProcess>()
    private val client = HttpClient(CIO)
    private val platform = process("stand-in", "platform", "--address", ANY_PORT).addresses().first()
    private val service: String
    private var started = 0

    /** The instances that callers know. */
    val instances: CopyOnWriteArrayList<RunningInstance> = CopyOnWriteArrayList()

    /** The key of an organisation with a rate that the load does not reach. */
    lateinit var key: String
        private set

    init {
        repeat(ENGINES) { endpoint("engine", "engine-$it") }
        service = endpoint("service", "tags-1")
    }

    /** Starts an instance, has it listed and waits until it is ready. */
    suspend fun startInstance(): RunningInstance {
        val id = "entry-${++started}"
        val settings = File(folder, "$id.yml").apply { writeText(settings(id)) }
        val process = process("serve", "--settings", settings.path)
        val (callers, inner) = process.addresses()
        val listed = ListedInstance(InstanceId(id), DATA_CENTRE, callers, inner, ListedState.LIVE)
        registerInstance(platform, listed)
        return RunningInstance(id, process, callers, inner)
    }

    /** Waits until [instance] is ready and then lets callers know it. */
    suspend fun admit(instance: RunningInstance) {
        awaitTrue { client.get("http://${instance.callerAddress}/readyz").status == HttpStatusCode.OK }
        instances.add(instance)
    }

    /** Takes [instance] off the platform's list. */
    suspend fun unlist(instance: RunningInstance) {
        client.delete("http://$platform${PlatformPaths.INSTANCES}?id=${instance.id}")
    }

    /** Creates the organisation, the service and the key through the administration API. */
    suspend fun configure() {
        val address = instances.first().callerAddress
        administer(address, "organisations/theatre", ORGANISATION)
        administer(address, "services/tags", SERVICE)
        val granted = client.post("http://$address/admin/v1/keys") {
            header(HttpHeaders.Authorization, "Bearer $OPERATOR_TOKEN")
            setBody("""{"organisation":"theatre"}""")
        }.bodyAsText()
        key = LENIENT.decodeFromString(KeyGrantAnswer.serializer(), granted).secret
    }

    /** Returns how often the service has run. */
    suspend fun executions(): ExecutionCounts {
        val text = client.get("http://$service${ServiceStandIn.EXECUTIONS_PATH}").bodyAsText()
        return Json.decodeFromString(ExecutionCounts.serializer(), text)
    }

    override fun close() {
        client.close()
        processes.forEach { it.close() }
    }

    private suspend fun administer(address: String, path: String, body: String) {
        val response = client.put("http://$address/admin/v1/$path") {
            header(HttpHeaders.Authorization, "Bearer $OPERATOR_TOKEN")
            header(HttpHeaders.IfNoneMatch, "*")
            setBody(body)
        }
        check(response.status.isSuccess()) { "$path: ${response.status} ${response.bodyAsText()}" }
    }

    private fun endpoint(kind: String, id: String): String =
        process("stand-in", kind, "--address", ANY_PORT, "--platform", platform, "--id", id).addresses().first()

    private fun process(vararg arguments: String) = ProductProcess(log, *arguments).also { processes.add(it) }

    private fun settings(id: String) = """
        instance: { id: $id, dataCentre: $DATA_CENTRE }
        callers: { address: "$ANY_PORT", addressLifetimeSeconds: 1 }
        inner: { address: "$ANY_PORT" }
        platform: { address: "$platform" }
        logs: { level: warn }
        administration: { operators: [ { name: rig, tokenHash: ${hashSecret(OPERATOR_TOKEN).value} } ] }
        """.trimIndent()

    companion object {
        private const val ANY_PORT = "127.0.0.1:0"
        private const val ENGINES = 2
        private const val OPERATOR_TOKEN = "rig-operator"
        private const val ORGANISATION =
            """{"id":"theatre","name":"Theatre","rate":{"tokensPerSecond":10000000,"burstTokens":10000000}}"""
        private const val SERVICE =
            """{"id":"tags","notRepeatable":[{"method":"POST","pathPrefix":"/confirm"}]}"""
        private val DATA_CENTRE = DataCentreId("rennes")
        private val LENIENT = Json { ignoreUnknownKeys = true }

        /** Waits until [condition] holds. */
        suspend fun awaitTrue(condition: suspend () -> Boolean) = withTimeout(3.minutes) {
            while (!condition()) delay(50.milliseconds)
        }
    }
}
