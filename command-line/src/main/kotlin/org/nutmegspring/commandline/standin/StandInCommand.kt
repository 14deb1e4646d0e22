package org.nutmegspring.commandline.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
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
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedState
import org.nutmegspring.standin.engine.EngineStandIn
import org.nutmegspring.standin.engine.EngineStandInSettings
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.standin.platform.registerEndpoint
import org.nutmegspring.standin.service.ServiceStandIn
import java.net.BindException

/** The kinds of stand-in. */
enum class StandInKind {
    /** The platform's service. */
    PLATFORM,

    /** A model engine. */
    ENGINE,

    /** A plain service. */
    SERVICE,
}

/** Runs one stand-in of an outside system. */
@OptIn(ExperimentalCli::class)
class StandInCommand(private val context: CommandContext) :
    Subcommand("stand-in", "Runs a stand-in of an outside system: platform, engine or service") {
    private val kind by argument(ArgType.Choice<StandInKind>({ kindOf(it) }, { it.name.lowercase() }), "KIND")
    private val address by option(ArgType.String, "address", description = "IP number and port").required()
    private val platform by option(ArgType.String, "platform", description = "Platform that lists the endpoint")
    private val id by option(ArgType.String, "id", description = "Id of the endpoint").default("endpoint-1")
    private val dataCentre by option(ArgType.String, "data-centre", description = "Data centre").default("rennes")
    private val model by option(ArgType.String, "model", description = "Model of an engine").default("ledger-small")
    private val service by option(ArgType.String, "service", description = "Name of the service").default("tags")
    private val ignoresFencing by option(
        ArgType.Boolean,
        "ignores-fencing",
        description = "The engine accepts orders with old fencing numbers",
    ).default(false)

    override fun execute() {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toIntOrNull()
            ?: return context.fail("the address '$address' has no port", ExitCode.USAGE)
        try {
            start(host, port)
        } catch (taken: BindException) {
            context.fail("cannot listen at $address: ${taken.message}")
        }
    }

    private fun start(host: String, port: Int) = when (kind) {
        StandInKind.PLATFORM -> run(PlatformStandIn().start(host, port).address)
        StandInKind.ENGINE -> startEngine(host, port)
        StandInKind.SERVICE -> startService(host, port)
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
        EndpointDescription(EndpointId(id), kind, DataCentreId(dataCentre), address)

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
