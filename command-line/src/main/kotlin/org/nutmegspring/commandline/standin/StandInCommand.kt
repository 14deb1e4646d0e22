package org.nutmegspring.commandline.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.nutmegspring.commandline.CommandContext
import org.nutmegspring.commandline.ExitCode
import org.nutmegspring.commandline.waitForStop
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.node.settings.Settings
import org.nutmegspring.node.settings.SettingsLoader
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.standin.engine.EngineStandIn
import org.nutmegspring.standin.engine.EngineStandInSettings
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.standin.platform.registerEndpoint
import org.nutmegspring.standin.platform.registerInstance
import org.nutmegspring.standin.service.ServiceStandIn
import java.io.File
import java.io.IOException
import java.net.BindException

/** The kinds of stand-in. */
enum class StandInKind {
    /** The platform's service. */
    PLATFORM,

    /** A model engine. */
    ENGINE,

    /** A plain service. */
    SERVICE,

    /** The entry of an instance in the list of a platform stand-in. */
    LISTING,
}

/** Runs one stand-in of an outside system. */
@OptIn(ExperimentalCli::class)
class StandInCommand(private val context: CommandContext) :
    Subcommand("stand-in", "Runs a stand-in of an outside system: platform, engine, service or listing") {
    private val kind by argument(ArgType.Choice<StandInKind>({ kindOf(it) }, { it.name.lowercase() }), "KIND")
    private val address by option(ArgType.String, "address", description = "IP number and port of the stand-in")
    private val platform by option(ArgType.String, "platform", description = "Platform that lists the endpoint")
    private val settings by option(ArgType.String, "settings", description = "Settings file of a listed instance")
    private val id by option(ArgType.String, "id", description = "Id of the endpoint").default("endpoint-1")
    private val dataCentre by option(ArgType.String, "data-centre", description = "Data centre").default("rennes")
    private val model by option(ArgType.String, "model", description = "Model of an engine").default("ledger-small")
    private val service by option(ArgType.String, "service", description = "Name of the service").default("tags")
    private val ignoresFencing by option(
        ArgType.Boolean,
        "ignores-fencing",
        description = "The engine accepts orders with old fencing numbers",
    ).default(false)

    override fun execute() = if (kind == StandInKind.LISTING) listInstance() else serve()

    private fun serve() {
        val given = address ?: return context.fail("--address is missing", ExitCode.USAGE)
        val port = given.substringAfterLast(':').toIntOrNull()
            ?: return context.fail("the address '$given' has no port", ExitCode.USAGE)
        try {
            start(given.substringBeforeLast(':'), port)
        } catch (taken: BindException) {
            context.fail("cannot listen at $given: ${taken.message}")
        }
    }

    private fun listInstance() {
        val file = settings ?: return context.fail("--settings is missing", ExitCode.USAGE)
        SettingsLoader().load(File(file)).fold(
            { problems -> problems.forEach { context.fail(it.toString(), ExitCode.USAGE) } },
            { loaded -> list(loaded) },
        )
    }

    private fun list(loaded: Settings) {
        val instance = ListedInstance(
            loaded.instance.id,
            loaded.instance.dataCentre,
            loaded.callers.address,
            loaded.inner.address,
            ListedState.LIVE,
        )
        try {
            runBlocking { registerInstance(loaded.platform.address, instance) }
            context.out.println("listed ${instance.id} at ${loaded.platform.address}")
        } catch (unreachable: IOException) {
            context.fail("the platform at ${loaded.platform.address} does not answer: ${unreachable.message}")
        }
    }

    private fun start(host: String, port: Int) = when (kind) {
        StandInKind.PLATFORM -> run(PlatformStandIn().start(host, port).address)
        StandInKind.ENGINE -> startEngine(host, port)
        StandInKind.SERVICE -> startService(host, port)
        StandInKind.LISTING -> Unit
    }

    private fun startEngine(host: String, port: Int) {
        val fencing = if (ignoresFencing) FencingSupport.IGNORED else FencingSupport.CHECKED
        val description = description(EndpointKind.Engine).copy(fencing = fencing)
        val target = EngineTarget(EngineRole.MIXED, ModelId(model), "1")
        val server = EngineStandIn(EngineStandInSettings(description, target)).start(host, port)
        register(description.copy(address = server.address))
        run(server.address)
    }

    private fun startService(host: String, port: Int) {
        val server = ServiceStandIn(service).start(host, port)
        register(description(EndpointKind.Plain(ServiceId(service))).copy(address = server.address))
        run(server.address)
    }

    private fun description(kind: EndpointKind) =
        EndpointDescription(EndpointId(id), kind, DataCentreId(dataCentre), address.orEmpty())

    private fun register(description: EndpointDescription) {
        val listing = platform ?: return
        runBlocking { registerEndpoint(listing, ListedEndpoint(description, ListedState.LIVE)) }
    }

    private fun run(bound: String) {
        context.out.println("${kind.name.lowercase()} stand-in at $bound")
        waitForStop { }
    }
}

private fun kindOf(name: String): StandInKind =
    StandInKind.entries.find { it.name.lowercase() == name } ?: throw IllegalArgumentException(name)
